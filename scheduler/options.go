package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/defaults"
)

// Options bounds requests and the waits of their steps.
type Options struct {
	// Grace is how long a request goes on without its caller.
	DisconnectGrace time.Duration
	// Deadline is used for requests that have none.
	DefaultDeadline time.Duration
	// RunTimeout is how long a dispatched request may run.
	RunTimeout time.Duration
	// ClaimTimeout and SettleTimeout bound one exchange with the key's home.
	ClaimTimeout  time.Duration
	SettleTimeout time.Duration
	// SettleWindow is for how long an unconfirmed release or finish is repeated.
	SettleWindow time.Duration
	// HolderTimeout is for how long the holder of an answer may be out of reach.
	HolderTimeout time.Duration
	// Attempts bounds claims of one request that are tried again because an
	// endpoint refused the connection or a claim was revoked.
	MaxAttempts int
	// MaxTasks bounds the requests in progress on this node.
	MaxTasks int
	// AnswerBufferBytes bounds a model's answer in memory, ResponseBufferBytes that of a plain
	// call; a reader slower than the endpoint slows it down beyond that.
	AnswerBufferBytes   int
	ResponseBufferBytes int
}

// DefaultOptions returns what a node uses unless its settings say otherwise.
func DefaultOptions() Options {
	return Options{
		DisconnectGrace:     30 * time.Second,
		DefaultDeadline:     60 * time.Second,
		RunTimeout:          15 * time.Minute,
		ClaimTimeout:        5 * time.Second,
		SettleTimeout:       5 * time.Second,
		SettleWindow:        time.Minute,
		HolderTimeout:       15 * time.Second,
		MaxAttempts:         3,
		MaxTasks:            20_000,
		AnswerBufferBytes:   answer.DefaultBound,
		ResponseBufferBytes: 1 << 20,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.DisconnectGrace = defaults.Positive(o.DisconnectGrace, d.DisconnectGrace)
	o.DefaultDeadline = defaults.Positive(o.DefaultDeadline, d.DefaultDeadline)
	o.RunTimeout = defaults.Positive(o.RunTimeout, d.RunTimeout)
	o.ClaimTimeout = defaults.Positive(o.ClaimTimeout, d.ClaimTimeout)
	o.SettleTimeout = defaults.Positive(o.SettleTimeout, d.SettleTimeout)
	o.SettleWindow = defaults.Positive(o.SettleWindow, d.SettleWindow)
	o.HolderTimeout = defaults.Positive(o.HolderTimeout, d.HolderTimeout)
	o.MaxAttempts = defaults.Positive(o.MaxAttempts, d.MaxAttempts)
	o.MaxTasks = defaults.Positive(o.MaxTasks, d.MaxTasks)
	o.AnswerBufferBytes = defaults.Positive(o.AnswerBufferBytes, d.AnswerBufferBytes)
	o.ResponseBufferBytes = defaults.Positive(o.ResponseBufferBytes, d.ResponseBufferBytes)
	return o
}
