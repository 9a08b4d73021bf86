package entry

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options bounds what callers may send and how long they may take.
type Options struct {
	// MaxBodyBytes bounds a model's request body.
	MaxBodyBytes int64
	// MaxCallBytes bounds the body of a plain call, which is streamed.
	MaxCallBytes int64
	// MaxHeldBytes bounds all request bodies held at a time.
	MaxHeldBytes int64
	// BodyTimeout is how long a caller may take to send a model's body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to accept a piece of the answer.
	WriteTimeout time.Duration
	// HeaderDelay is how long the headers of a stream are held back when the caller
	// does not know its key yet; KeepAlive is so otherwise, and is the longest
	// silence in a stream.
	HeaderDelay time.Duration
	KeepAlive   time.Duration
	// MaxTimeout bounds the Request-Timeout header.
	MaxTimeout time.Duration
}

// DefaultOptions returns what a node uses unless its settings say otherwise.
func DefaultOptions() Options {
	return Options{
		MaxBodyBytes: 2 << 20,
		MaxCallBytes: 1 << 30,
		MaxHeldBytes: 256 << 20,
		BodyTimeout:  30 * time.Second,
		WriteTimeout: 30 * time.Second,
		HeaderDelay:  200 * time.Millisecond,
		KeepAlive:    15 * time.Second,
		MaxTimeout:   time.Hour,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.MaxBodyBytes = defaults.Positive(o.MaxBodyBytes, d.MaxBodyBytes)
	o.MaxCallBytes = defaults.Positive(o.MaxCallBytes, d.MaxCallBytes)
	o.MaxHeldBytes = defaults.Positive(o.MaxHeldBytes, d.MaxHeldBytes)
	o.BodyTimeout = defaults.Positive(o.BodyTimeout, d.BodyTimeout)
	o.WriteTimeout = defaults.Positive(o.WriteTimeout, d.WriteTimeout)
	o.HeaderDelay = defaults.Positive(o.HeaderDelay, d.HeaderDelay)
	o.KeepAlive = defaults.Positive(o.KeepAlive, d.KeepAlive)
	o.MaxTimeout = defaults.Positive(o.MaxTimeout, d.MaxTimeout)
	return o
}
