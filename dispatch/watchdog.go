package dispatch

import (
	"io"
	"time"
)

// watchdog calls a function when nothing has happened for a time.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
}

// newWatchdog returns a watchdog that runs.
func newWatchdog(silence time.Duration, bark func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(silence, bark), silence: silence}
}

func (w *watchdog) start() { w.timer.Reset(w.silence) }

func (w *watchdog) stop() { w.timer.Stop() }

// watchedReader tells a watchdog that the body of a call is being sent.
type watchedReader struct {
	reader io.Reader
	watch  *watchdog
}

// Read reads from the body. The watchdog sleeps while the caller is waited for.
func (r watchedReader) Read(p []byte) (int, error) {
	r.watch.stop()
	defer r.watch.start()
	return r.reader.Read(p)
}
