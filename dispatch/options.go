package dispatch

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options bounds what the dispatcher does about faulty endpoints.
type Options struct {
	// ResumeWindow is for how long a broken stream is tried again.
	ResumeWindow time.Duration
	// ResumeFirst and ResumeMax bound the pause between two tries.
	ResumeFirst time.Duration
	ResumeMax   time.Duration
	// NotFoundWindow is for how long an engine may not know a stream of which
	// nothing has been received: the request may still be on its way.
	NotFoundWindow time.Duration
	// Stall is how long a stream may be silent before it is taken as broken.
	Stall time.Duration
	// ServiceStall is how long a plain call may neither send nor answer anything.
	ServiceStall time.Duration
	// CancelTimeout bounds the order to cancel a stream.
	CancelTimeout time.Duration
	// ProgressEvery is the number of answer tokens between two progress reports.
	ProgressEvery int
}

// DefaultOptions returns what a node uses unless its settings say otherwise.
func DefaultOptions() Options {
	return Options{
		ResumeWindow:   15 * time.Second,
		ResumeFirst:    100 * time.Millisecond,
		ResumeMax:      2 * time.Second,
		NotFoundWindow: 2 * time.Second,
		Stall:          60 * time.Second,
		ServiceStall:   2 * time.Minute,
		CancelTimeout:  5 * time.Second,
		ProgressEvery:  32,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.ResumeWindow = defaults.Positive(o.ResumeWindow, d.ResumeWindow)
	o.ResumeFirst = defaults.Positive(o.ResumeFirst, d.ResumeFirst)
	o.ResumeMax = defaults.Positive(o.ResumeMax, d.ResumeMax)
	o.NotFoundWindow = defaults.Positive(o.NotFoundWindow, d.NotFoundWindow)
	o.Stall = defaults.Positive(o.Stall, d.Stall)
	o.ServiceStall = defaults.Positive(o.ServiceStall, d.ServiceStall)
	o.CancelTimeout = defaults.Positive(o.CancelTimeout, d.CancelTimeout)
	o.ProgressEvery = defaults.Positive(o.ProgressEvery, d.ProgressEvery)
	return o
}
