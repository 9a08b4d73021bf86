package lease

import (
	"errors"
	"time"
)

// Options configure a lease. Zero values mean the defaults.
type Options struct {
	// Owner names the holder to other processes, such as the node's name.
	Owner string
	// TTL is the time from the last keep-alive to the expiry of the lease (15 s).
	TTL time.Duration
	// Margin is how long before the store could grant the lease to another process
	// the holder stops (a fifth of the TTL). It covers clock drift and the time
	// between a check by the holder and the effect of what it then does.
	Margin time.Duration
	// RetryInterval is the mean time between attempts to acquire the lease (1 s).
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
		return errors.New("lease: the TTL must be above 0, the margin at least 0 and less than half the TTL, and the retry interval at least 0")
	}
	return nil
}
