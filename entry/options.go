package entry

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options bounds what callers may send and how long they may take.
type Options struct {
	// MaxBodyBytes bounds a model's request body.
	MaxBodyBytes int64
	// MaxServiceBodyBytes bounds the body of a plain call, which is streamed.
	MaxServiceBodyBytes int64
	// MaxBufferedBytes bounds all request bodies held at a time.
	MaxBufferedBytes int64
	// BodyTimeout is how long a caller may take to send a model's body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to accept a piece of the answer.
	WriteTimeout time.Duration
	// HeaderDelay is how long the headers of a stream are held back when the caller
	// does not know its key yet; KeepAliveInterval is so otherwise, and is the longest
	// silence in a stream.
	HeaderDelay       time.Duration
	KeepAliveInterval time.Duration
	// MaxTimeout bounds the Request-Timeout header.
	MaxTimeout time.Duration
}

// DefaultOptions returns what a node uses unless its settings say otherwise.
func DefaultOptions() Options {
	return Options{
		MaxBodyBytes:        2 << 20,
		MaxServiceBodyBytes: 1 << 30,
		MaxBufferedBytes:    256 << 20,
		BodyTimeout:         30 * time.Second,
		WriteTimeout:        30 * time.Second,
		HeaderDelay:         200 * time.Millisecond,
		KeepAliveInterval:   15 * time.Second,
		MaxTimeout:          time.Hour,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.MaxBodyBytes = defaults.Positive(o.MaxBodyBytes, d.MaxBodyBytes)
	o.MaxServiceBodyBytes = defaults.Positive(o.MaxServiceBodyBytes, d.MaxServiceBodyBytes)
	o.MaxBufferedBytes = defaults.Positive(o.MaxBufferedBytes, d.MaxBufferedBytes)
	o.BodyTimeout = defaults.Positive(o.BodyTimeout, d.BodyTimeout)
	o.WriteTimeout = defaults.Positive(o.WriteTimeout, d.WriteTimeout)
	o.HeaderDelay = defaults.Positive(o.HeaderDelay, d.HeaderDelay)
	o.KeepAliveInterval = defaults.Positive(o.KeepAliveInterval, d.KeepAliveInterval)
	o.MaxTimeout = defaults.Positive(o.MaxTimeout, d.MaxTimeout)
	return o
}
