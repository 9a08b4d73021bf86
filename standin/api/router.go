package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"
)

// StatusFunc maps an error to an HTTP status. ok is false for errors that it does
// not handle.
type StatusFunc func(err error) (status int, ok bool)

// AbortConnection is the status with which a StatusFunc has the connection closed
// without a response.
const AbortConnection = -1

// errorBody is the body of an error response, in the format of model engines.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// NewRouter returns a router that maps errors to statuses with statusOf, and those
// that it does not handle with the defaults: echo's errors, bodies that are too
// large, ErrBadRequest.
func NewRouter(statusOf StatusFunc) *echo.Echo {
	router := echo.New()
	router.HTTPErrorHandler = func(err error, c echo.Context) { writeError(statusOf, err, c) }
	return router
}

func writeError(statusOf StatusFunc, err error, c echo.Context) {
	if c.Response().Committed || errors.Is(err, context.Canceled) {
		return
	}
	status, ok := statusOf(err)
	if !ok {
		status = defaultStatus(err)
	}
	if status == AbortConnection {
		panic(http.ErrAbortHandler)
	}
	_ = c.JSON(status, errorBody{Error: errorDetail{Message: err.Error(), Code: status}})
}

func defaultStatus(err error) int {
	var httpError *echo.HTTPError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &httpError):
		return httpError.Code
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBadRequest):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}
