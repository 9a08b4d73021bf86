package lease

import (
	"errors"
	"time"
)

// Options describe a lease. Zero values mean the defaults.
type Options struct {
	// Owner is shown to others, such as the node's name.
	Owner string
	// TTL is how long the lease outlives its last keep-alive (15 s).
	TTL time.Duration
	// Margin is by how much the holder stops before the store could let another
	// one in (a fifth of the TTL). It covers clocks of different rates and what the
	// holder does between a check and its effect.
	Margin time.Duration
	// Retry is the mean time between attempts at a lease whose holder does not
	// answer (1 s).
	RetryInterval time.Duration
}

func (o Options) withDefaults() Options {
	if o.TTL == 0 {
		o.TTL = 15 * time.Second
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / 5
	}
	if o.RetryInterval == 0 {
		o.RetryInterval = time.Second
	}
	return o
}

func (o Options) check() error {
	if o.TTL <= 0 || o.Margin < 0 || o.Margin >= o.TTL/2 || o.RetryInterval < 0 {
		return errors.New("lease: the margin must be less than half the TTL, and nothing negative")
	}
	return nil
}
