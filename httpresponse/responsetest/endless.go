package responsetest

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

// pieceBytes is about the size of the pieces in which endless responses are sent.
const pieceBytes = 16 << 10

// Endless is a server whose responses have no end. It measures the heap of the process meanwhile.
type Endless struct {
	*Server
	// Written is the number of bytes sent.
	Written atomic.Int64
	// before and peak are the sizes of the heap at the start and the largest since.
	before, peak atomic.Int64
}

// ServeEndless starts a server that sends the beginning of a response, followed by the same text until the client closes the connection.
func ServeEndless(t testing.TB, begin, repeated string) *Endless {
	e := &Endless{}
	e.Server = Respond(t, func(connection *net.TCPConn, _ *http.Request) {
		piece := strings.Repeat(repeated, max(1, pieceBytes/len(repeated)))
		for text := begin + piece; ; text = piece {
			n, err := io.WriteString(connection, text)
			e.Written.Add(int64(n))
			if err != nil {
				return
			}
			e.raise(heapBytes())
		}
	})
	runtime.GC()
	e.before.Store(heapBytes())
	return e
}

// HeapGrowth is by how many bytes the heap has grown at most since the server was started.
func (e *Endless) HeapGrowth() int64 { return e.peak.Load() - e.before.Load() }

func (e *Endless) raise(size int64) {
	for seen := e.peak.Load(); size > seen && !e.peak.CompareAndSwap(seen, size); seen = e.peak.Load() {
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
