package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"
)

// StatusFunc maps an error to a status; ok is false if the rule does not know it.
type StatusFunc func(err error) (status int, ok bool)

// AbortConnection is the status with which a Rule has the connection broken off in place of
// an answer.
const AbortConnection = -1

// problem is the body of an error; its shape is that of model engines.
type problem struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// NewRouter returns a router that answers errors by the rule, and by the common
// ones: echo's own, bodies that are too large, ErrBadRequest.
func NewRouter(rule StatusFunc) *echo.Echo {
	router := echo.New()
	router.HTTPErrorHandler = func(err error, c echo.Context) { answerError(rule, err, c) }
	return router
}

func answerError(rule StatusFunc, err error, c echo.Context) {
	if c.Response().Committed || errors.Is(err, context.Canceled) {
		return
	}
	status, ok := rule(err)
	if !ok {
		status = commonStatus(err)
	}
	if status == AbortConnection {
		panic(http.ErrAbortHandler)
	}
	_ = c.JSON(status, problem{Error: detail{Message: err.Error(), Code: status}})
}

func commonStatus(err error) int {
	var own *echo.HTTPError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &own):
		return own.Code
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBadRequest):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}
