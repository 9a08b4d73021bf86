package engine

import (
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/endpoint"
)

var (
	// ErrBadRequest means that the body is not a valid request.
	ErrBadRequest = errors.New("engine: bad request")
	// ErrModelNotLoaded means that the model is not loaded here.
	ErrModelNotLoaded = errors.New("engine: model not loaded")
	// ErrQueueFull means that too many requests wait already.
	ErrQueueFull = errors.New("engine: too many waiting requests")
	errCancelled = errors.New("engine: cancelled")
	errCrashed   = errors.New("engine: crashed")
	errCut       = errors.New("engine: connection cut")
	// ErrBadOrder means that the order makes no sense.
	ErrBadOrder = errors.New("engine: bad order")
)

// refused marks a request that will not run.
func refused(err error) error { return fmt.Errorf("%w: %w", endpoint.ErrRefused, err) }
