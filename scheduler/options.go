package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/defaults"
)

// Options bounds requests and the waits of their steps.
type Options struct {
	// Grace is how long a request goes on without its caller.
	Grace time.Duration
	// Deadline is used for requests that have none.
	Deadline time.Duration
	// MaxRun is how long a dispatched request may run.
	MaxRun time.Duration
	// ClaimTimeout and SettleTimeout bound one exchange with the key's home.
	ClaimTimeout  time.Duration
	SettleTimeout time.Duration
	// SettleWindow is for how long an unconfirmed release or finish is repeated.
	SettleWindow time.Duration
	// AttachWindow is for how long the holder of an answer may be out of reach.
	AttachWindow time.Duration
	// Attempts bounds claims of one request that are tried again because an
	// endpoint refused the connection or a claim was revoked.
	Attempts int
	// MaxTasks bounds the requests in progress on this node.
	MaxTasks int
	// AnswerBytes bounds a model's answer in memory, ResponseBytes that of a plain
	// call; a reader slower than the endpoint slows it down beyond that.
	AnswerBytes   int
	ResponseBytes int
}

// DefaultOptions returns what a node uses unless its settings say otherwise.
func DefaultOptions() Options {
	return Options{
		Grace:         30 * time.Second,
		Deadline:      60 * time.Second,
		MaxRun:        15 * time.Minute,
		ClaimTimeout:  5 * time.Second,
		SettleTimeout: 5 * time.Second,
		SettleWindow:  time.Minute,
		AttachWindow:  15 * time.Second,
		Attempts:      3,
		MaxTasks:      20_000,
		AnswerBytes:   answer.DefaultBound,
		ResponseBytes: 1 << 20,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.Grace = defaults.Positive(o.Grace, d.Grace)
	o.Deadline = defaults.Positive(o.Deadline, d.Deadline)
	o.MaxRun = defaults.Positive(o.MaxRun, d.MaxRun)
	o.ClaimTimeout = defaults.Positive(o.ClaimTimeout, d.ClaimTimeout)
	o.SettleTimeout = defaults.Positive(o.SettleTimeout, d.SettleTimeout)
	o.SettleWindow = defaults.Positive(o.SettleWindow, d.SettleWindow)
	o.AttachWindow = defaults.Positive(o.AttachWindow, d.AttachWindow)
	o.Attempts = defaults.Positive(o.Attempts, d.Attempts)
	o.MaxTasks = defaults.Positive(o.MaxTasks, d.MaxTasks)
	o.AnswerBytes = defaults.Positive(o.AnswerBytes, d.AnswerBytes)
	o.ResponseBytes = defaults.Positive(o.ResponseBytes, d.ResponseBytes)
	return o
}
