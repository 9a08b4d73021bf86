package engine

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/endpoint"
)

// errorBody is the common shape of a model engine's errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed || errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, endpoint.ErrNotDispatched) || errors.Is(err, endpoint.ErrBroken) {
		// To this caller the engine is gone, so there is no answer.
		panic(http.ErrAbortHandler)
	}
	status := statusOf(err)
	_ = c.JSON(status, errorBody{Error: errorDetail{Message: err.Error(), Code: status}})
}

func statusOf(err error) int {
	var he *echo.HTTPError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &he):
		return he.Code
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBadRequest), errors.Is(err, ErrBadOrder):
		return http.StatusBadRequest
	case errors.Is(err, ErrModel), errors.Is(err, endpoint.ErrStreamNotFound):
		return http.StatusNotFound
	case errors.Is(err, endpoint.ErrOldFence):
		return http.StatusConflict
	case errors.Is(err, ErrFull):
		return http.StatusTooManyRequests
	default:
		return http.StatusInternalServerError
	}
}
