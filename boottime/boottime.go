// Package boottime tells time that goes on while the machine is suspended and never jumps. Go's steady clock stands
// still during a suspension and the time of day may be set, so neither can bound the age of what a process knows.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the machine booted, suspensions included.
type Instant time.Duration

// Clock returns the current instant. Tests replace it.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("boottime: the kernel has no CLOCK_BOOTTIME: %v", err))
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
