package dispatch

import (
	"io"
	"time"
)

// watchdog calls a function if it is not restarted or stopped within a timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
}

// newWatchdog returns a running watchdog.
func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(timeout, onTimeout), timeout: timeout}
}

func (w *watchdog) start() { w.timer.Reset(w.timeout) }

func (w *watchdog) stop() { w.timer.Stop() }

// monitoredReader restarts a watchdog while the body of a call is sent.
type monitoredReader struct {
	reader   io.Reader
	watchdog *watchdog
}

// Read reads from the body. The watchdog is stopped while Read waits for the caller's data.
func (r monitoredReader) Read(p []byte) (int, error) {
	r.watchdog.stop()
	defer r.watchdog.start()
	return r.reader.Read(p)
}
