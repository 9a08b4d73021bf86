// Package trial has what the scripted cases of the second review share: stand-ins of the platform's store, of runners and of
// requesters, and the start and end of the project's own processes. The stand-ins follow the platform's pages.
package trial

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the seconds since its start.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.At(time.Now(), format, args...)
}

// At writes one line on what happened at the time.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the file and to the standard output.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Line(format, args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
