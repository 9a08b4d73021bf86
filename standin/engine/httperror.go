package engine

import (
	"errors"
	"net/http"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/standin/api"
)

// statusOf is the engine's api.StatusFunc. If the engine is unreachable or
// the stream breaks, the connection is closed without a response.
func statusOf(err error) (int, bool) {
	switch {
	case errors.Is(err, endpoint.ErrNotDispatched), errors.Is(err, endpoint.ErrBroken):
		return api.AbortConnection, true
	case errors.Is(err, ErrBadRequest), errors.Is(err, ErrBadOrder):
		return http.StatusBadRequest, true
	case errors.Is(err, ErrModelNotLoaded), errors.Is(err, endpoint.ErrStreamNotFound):
		return http.StatusNotFound, true
	case errors.Is(err, endpoint.ErrStaleFence):
		return http.StatusConflict, true
	case errors.Is(err, ErrQueueFull):
		return http.StatusTooManyRequests, true
	}
	return 0, false
}
