package service

import "time"

// Options describe a service. New fills in the defaults.
type Options struct {
	// Workers bounds the calls that run at a time; further ones wait. Default 64.
	Workers int
	// Work is how long a call takes. Default 2 ms, negative for no time.
	ProcessingTime time.Duration
	// RestartDelay is how long the service is down after a crash. Default 5 s;
	// negative for ever.
	RestartDelay time.Duration
	// OnAvailabilityChange, if set, is told when the service begins and ceases to refuse
	// connections. It must not call the service.
	OnAvailabilityChange func(up bool)
}

const (
	defaultWorkers      = 64
	defaultWork         = 2 * time.Millisecond
	defaultRestartDelay = 5 * time.Second
)

// DefaultOptions returns the options with their defaults.
func DefaultOptions() Options { return Options{}.withDefaults() }

func (o Options) withDefaults() Options {
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	if o.ProcessingTime == 0 {
		o.ProcessingTime = defaultWork
	}
	if o.RestartDelay == 0 {
		o.RestartDelay = defaultRestartDelay
	}
	return o
}
