package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/defaults"
)

// Options sets the limits and time-outs of requests.
type Options struct {
	// DisconnectGrace is how long a request continues without its caller.
	DisconnectGrace time.Duration
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline time.Duration
	// RunTimeout bounds the run time of a dispatched request.
	RunTimeout time.Duration
	// ClaimTimeout and SettleTimeout bound one exchange with the key's home.
	ClaimTimeout  time.Duration
	SettleTimeout time.Duration
	// SettleWindow bounds the time for which an unconfirmed release or finish is
	// retried.
	SettleWindow time.Duration
	// HolderTimeout is how long the holder of an answer may be unreachable.
	HolderTimeout time.Duration
	// MaxAttempts bounds the claims of one request that is retried because an
	// endpoint refused the connection or a claim was revoked.
	MaxAttempts int
	// MaxTasks bounds the requests in progress on this node.
	MaxTasks int
	// AnswerBufferBytes bounds a model's answer in memory, ResponseBufferBytes the
	// response of a service call. When the buffer is full, the endpoint is read only
	// as fast as the slowest reader.
	AnswerBufferBytes   int
	ResponseBufferBytes int
}

// DefaultOptions returns the options that a node uses unless its settings override
// them.
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
		AnswerBufferBytes:   answer.DefaultBufferBytes,
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
