package logging

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait to be written; at 400 bytes a line this is under half a megabyte.
	asyncLines = 1024
	// asyncBuffer is how much is written at a time.
	asyncBuffer = 16 << 10
	// asyncFlush is how long a line may wait for others to be written with.
	asyncFlush = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background. It never blocks: when the writer is slow, lines are dropped and their number is
// written instead.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns an Async that writes to w. It must be closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write takes a line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	buffer := bufio.NewWriterSize(w, asyncBuffer)
	ticker := time.NewTicker(asyncFlush)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-a.lines:
			if !ok {
				a.report(buffer)
				_ = buffer.Flush() // nobody is left to be told
				return
			}
			_, _ = buffer.Write(line) // the next write shows the same error
		case <-ticker.C:
			a.report(buffer)
			_ = buffer.Flush()
		}
	}
}

// report writes how many lines were dropped.
func (a *AsyncWriter) report(w io.Writer) {
	if n := a.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, `{"level":"warn","dropped":%d,"message":"log lines dropped"}`+"\n", n)
	}
}
