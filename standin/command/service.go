package command

import (
	"time"

	"hawthornrill.example/hawthornrill/standin/service"
)

func defineService(f *flagSet) builder {
	o := service.DefaultOptions()
	f.integer("workers", &o.Workers, 1, "`calls` that run at a time")
	f.duration("work", &o.ProcessingTime, "`time` that a call takes")
	f.duration("restart", &o.RestartDelay, "`time` for which the service is down after a crash")
	return func(onAvailabilityChange func(available bool)) instance {
		o.OnAvailabilityChange = onAvailabilityChange
		o.ProcessingTime = zeroAsNone(o.ProcessingTime)
		o.RestartDelay = max(o.RestartDelay, time.Nanosecond)
		s := service.New(o)
		return instance{handler: s.Handler(), control: service.NewControlHandler(s)}
	}
}
