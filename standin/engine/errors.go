package engine

import (
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/endpoint"
)

var (
	// ErrBadRequest means that the request body is invalid.
	ErrBadRequest = errors.New("engine: bad request")
	// ErrModelNotLoaded means that this engine has not loaded the model.
	ErrModelNotLoaded = errors.New("engine: model not loaded")
	// ErrQueueFull means that the queue has reached Options.WaitingLimit.
	ErrQueueFull    = errors.New("engine: too many waiting requests")
	errCancelled    = errors.New("engine: cancelled")
	errCrashed      = errors.New("engine: crashed")
	errDisconnected = errors.New("engine: connection closed by an injected fault")
	// ErrBadOrder means that the order is invalid.
	ErrBadOrder = errors.New("engine: bad order")
)

// wrapRefused adds endpoint.ErrRefused to the error of a request that will not run.
func wrapRefused(err error) error { return fmt.Errorf("%w: %w", endpoint.ErrRefused, err) }
