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
	// asyncQueueLines is the capacity of the line queue; at 400 bytes a line it takes less than half a megabyte.
	asyncQueueLines = 1024
	// asyncBufferBytes is the size of the write buffer.
	asyncBufferBytes = 16 << 10
	// asyncFlushInterval is the longest time that a line is buffered for batching.
	asyncFlushInterval = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background. Write never blocks: while the queue is full because the underlying writer
// is slow, lines are dropped, and a line with their number is written instead.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns an AsyncWriter for w. The caller must close it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a line, or drops it if the queue is full.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and flushes the buffer. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	buffer := bufio.NewWriterSize(w, asyncBufferBytes)
	ticker := time.NewTicker(asyncFlushInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-a.lines:
			if !ok {
				a.reportDropped(buffer)
				_ = buffer.Flush() // the log is closed, so the error can't be reported
				return
			}
			_, _ = buffer.Write(line) // bufio.Writer returns the error again on the next write
		case <-ticker.C:
			a.reportDropped(buffer)
			_ = buffer.Flush()
		}
	}
}

// reportDropped writes the number of lines dropped since the last report.
func (a *AsyncWriter) reportDropped(w io.Writer) {
	if n := a.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, `{"level":"warn","dropped":%d,"message":"log lines dropped"}`+"\n", n)
	}
}
