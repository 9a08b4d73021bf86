package service

import "time"

// Options configure a service. New replaces zero values by the defaults.
type Options struct {
	// Workers is the maximum number of calls executed at a time; further calls wait.
	// Default 64.
	Workers int
	// ProcessingTime is the duration of a call. Default 2 ms; negative means none.
	ProcessingTime time.Duration
	// RestartDelay is the downtime after a crash. Default 5 s; with a negative delay
	// the service never restarts.
	RestartDelay time.Duration
	// OnAvailabilityChange, if set, is called when the service starts or stops
	// accepting connections. It is called with the service's mutex held, so it must
	// not call the service.
	OnAvailabilityChange func(available bool)
}

const (
	defaultWorkers        = 64
	defaultProcessingTime = 2 * time.Millisecond
	defaultRestartDelay   = 5 * time.Second
)

// DefaultOptions returns the options that New uses for zero values.
func DefaultOptions() Options { return Options{}.withDefaults() }

func (o Options) withDefaults() Options {
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	if o.ProcessingTime == 0 {
		o.ProcessingTime = defaultProcessingTime
	}
	if o.RestartDelay == 0 {
		o.RestartDelay = defaultRestartDelay
	}
	return o
}
