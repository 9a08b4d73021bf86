package entry

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options limits the size of request bodies and the time of transfers.
type Options struct {
	// MaxBodyBytes limits the body of a model request.
	MaxBodyBytes int64
	// MaxServiceBodyBytes limits the body of a service call, which is streamed.
	MaxServiceBodyBytes int64
	// MaxBufferedBytes limits the memory for all request bodies together.
	MaxBufferedBytes int64
	// BodyTimeout limits the time to receive the body of a model request.
	BodyTimeout time.Duration
	// WriteTimeout limits the time of one write to a caller.
	WriteTimeout time.Duration
	// HeaderDelay is the maximum delay of the headers of a stream without events if
	// the key was generated, so that the caller learns it early. For other keys the
	// maximum is KeepAliveInterval, which is also the interval of keep-alive comments
	// in a stream without events.
	HeaderDelay       time.Duration
	KeepAliveInterval time.Duration
	// MaxTimeout is the maximum value of the Request-Timeout header.
	MaxTimeout time.Duration
}

// DefaultOptions returns the defaults of the options.
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
