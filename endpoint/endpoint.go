// Package endpoint defines the interfaces to the back ends: model engines and plain services. Only
// package dispatch calls Start; all other methods are safe to call at any time.
package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

var (
	// ErrNotDispatched means that not a single byte of the request was sent.
	ErrNotDispatched = errors.New("endpoint: not dispatched")
	// ErrRefused means that the endpoint responded that it did not and will not run the request.
	// The request still counts as dispatched.
	ErrRefused = errors.New("endpoint: refused")
	// ErrBroken means that the stream ended before the answer was complete; the endpoint may still
	// be running the request.
	ErrBroken = errors.New("endpoint: stream broken")
	// ErrUnacknowledged means that the connection was closed before the endpoint's host had
	// acknowledged the whole request. It accompanies ErrBroken.
	ErrUnacknowledged = errors.New("endpoint: request not acknowledged")
	// ErrStreamNotFound means that the engine does not know the stream.
	ErrStreamNotFound = errors.New("endpoint: stream not found")
)

// EngineRequest is a request to a model engine.
type EngineRequest struct {
	// Key uniquely identifies the request. Engines log it and use it as the stream's identifier.
	Key string
	// Body is the caller's JSON body, with "stream" set to true.
	Body []byte
}

// Event is one server-sent event of an engine's stream. Offsets start at 0.
type Event struct {
	Offset uint64
	Data   []byte
}

// Stream reads the events of an answer. Next returns io.EOF after the last event, and an error that
// wraps ErrBroken if the stream ends early.
type Stream interface {
	Next(ctx context.Context) (Event, error)
	Close() error
}

// Engine is a model engine.
type Engine interface {
	// Start dispatches the request. After any error but ErrNotDispatched the request counts as
	// dispatched.
	Start(ctx context.Context, request EngineRequest) (Stream, error)
	// Resume continues a stream from an offset, or returns ErrStreamNotFound.
	Resume(ctx context.Context, key string, from uint64) (Stream, error)
	// Cancel ends the stream and frees its slot. It is idempotent.
	Cancel(ctx context.Context, key string) error
	// Load returns the load that the engine reports, which is already out of date when it arrives.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the prompt-cache events after the given sequence number. They may be
	// delayed and have gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// LoadReport is the load that an engine reports. Age is the age of the figures as stated by the
// engine.
type LoadReport struct {
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	KVTokensUsed int           `json:"kv_tokens_used"`
	KVTokens     int           `json:"kv_tokens"`
	Age          time.Duration `json:"age_ns"`
	Leaving      bool          `json:"leaving"`
}

// CacheEvent reports that a prefix block was stored or evicted. Block is the hash computed by
// package prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Key    string
	Method string
	// Path includes the query and begins with "/".
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the body's length in bytes, or -1 if it is unknown.
	Length int64
}

// ServiceResponse is the response of a plain service. The body must be closed.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service is an instance of a plain service.
type Service interface {
	// Call dispatches the call. After any error but ErrNotDispatched the call counts as dispatched.
	Call(ctx context.Context, request ServiceRequest) (ServiceResponse, error)
}
