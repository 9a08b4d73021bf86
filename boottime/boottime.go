// Package boottime reads a clock that never jumps and goes on while the machine is suspended. The monotonic clock of Go
// stops during a suspension and the wall clock may be set, so neither can bound the age of data held by a process.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the machine booted, including suspensions.
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

func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
