package dispatch

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options bounds what the dispatcher does about faulty endpoints.
type Options struct {
	// ResumeWindow is for how long a broken stream is tried again.
	ResumeWindow time.Duration
	// ResumeInitialDelay and ResumeMaxDelay bound the pause between two tries.
	ResumeInitialDelay time.Duration
	ResumeMaxDelay     time.Duration
	// NotFoundWindow is for how long an engine may not know a stream of which
	// nothing has been received: the request may still be on its way.
	NotFoundWindow time.Duration
	// Stall is how long a stream may be silent before it is taken as broken.
	StallTimeout time.Duration
	// ServiceStallTimeout is how long a plain call may neither send nor answer anything.
	ServiceStallTimeout time.Duration
	// CancelTimeout bounds the order to cancel a stream.
	CancelTimeout time.Duration
	// ProgressEvery is the number of answer tokens between two progress reports.
	ProgressEvery int
}

// DefaultOptions returns what a node uses unless its settings say otherwise.
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
