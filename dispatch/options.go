package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options configures the handling of faulty endpoints. Zero values mean defaults.
type Options struct {
	// ResumeWindow limits how long resuming a broken stream is attempted.
	ResumeWindow time.Duration
	// ResumeInitialDelay and ResumeMaxDelay bound the exponential backoff between two attempts.
	ResumeInitialDelay time.Duration
	ResumeMaxDelay     time.Duration
	// NotFoundWindow limits how long an engine may report an unknown stream if nothing of it has
	// been received: the request may still be in transit.
	NotFoundWindow time.Duration
	// StallTimeout is how long a stream may send nothing before it counts as broken.
	StallTimeout time.Duration
	// ServiceStallTimeout is how long a call to a plain service may make no progress in either
	// direction.
	ServiceStallTimeout time.Duration
	// CancelTimeout limits the call that cancels a stream.
	CancelTimeout time.Duration
	// ProgressEvery is the number of answer tokens between two progress reports.
	ProgressEvery int
	// Log receives a line for each answer that broke off, with what was wrong.
	Log zerolog.Logger
}

// DefaultOptions returns the default options of a node.
func DefaultOptions() Options {
	return Options{
		ResumeWindow:        15 * time.Second,
		ResumeInitialDelay:  100 * time.Millisecond,
		ResumeMaxDelay:      2 * time.Second,
		NotFoundWindow:      2 * time.Second,
		StallTimeout:        60 * time.Second,
		ServiceStallTimeout: 2 * time.Minute,
		CancelTimeout:       5 * time.Second,
		ProgressEvery:       32,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.ResumeWindow = defaults.Positive(o.ResumeWindow, d.ResumeWindow)
	o.ResumeInitialDelay = defaults.Positive(o.ResumeInitialDelay, d.ResumeInitialDelay)
	o.ResumeMaxDelay = defaults.Positive(o.ResumeMaxDelay, d.ResumeMaxDelay)
	o.NotFoundWindow = defaults.Positive(o.NotFoundWindow, d.NotFoundWindow)
	o.StallTimeout = defaults.Positive(o.StallTimeout, d.StallTimeout)
	o.ServiceStallTimeout = defaults.Positive(o.ServiceStallTimeout, d.ServiceStallTimeout)
	o.CancelTimeout = defaults.Positive(o.CancelTimeout, d.CancelTimeout)
	o.ProgressEvery = defaults.Positive(o.ProgressEvery, d.ProgressEvery)
	return o
}
