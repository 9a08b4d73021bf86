package onesend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

const (
	// crowd is the number of calls at once.
	crowd = 60
	// maxHeapGrowth is a third of the smallest node's memory.
	maxHeapGrowth = 40 << 20
	// maxUnread bounds what the kernels buffer between a server and a client that has stopped reading, per call.
	maxUnread = 16 << 20
)

// Guards against heads without end being kept until they exhaust the memory.
func TestEndlessHeadIsBroken(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for name, test := range map[string]struct{ begin, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"name of a field":   {"HTTP/1.1 200 OK\r\n", "x"},
		"value of a field":  {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"short fields":      {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"continued line":    {"HTTP/1.1 200 OK\r\nX-Folded: y\r\n", " z\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"no response":       {"", "\x00garbage"},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written, peak atomic.Int64
			s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
				text := test.begin
				for {
					n, err := io.WriteString(connection, text)
					written.Add(int64(n))
					if err != nil {
						return
					}
					text = strings.Repeat(test.repeated, max(1, 4096/len(test.repeated)))
					raise(&peak)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			transport := onesend.New(onesend.Options{})
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for range crowd {
				calls.Go(func() {
					_, err := receive(ctx, t, transport, s.Address, strings.NewReader("body"))
					assert.Check(t, err != nil)
				})
			}
			calls.Wait()
			assert.NilError(t, ctx.Err(), "the client reads for ever")
			growth := peak.Load() - int64(before.HeapAlloc)
			t.Logf("the heap grew by %.1f MB, %.1f MB were sent", float64(growth)/(1<<20), float64(written.Load())/(1<<20))
			assert.Assert(t, growth < maxHeapGrowth)
			assert.Assert(t, written.Load() < crowd*maxUnread)
		})
	}
}

// raise sets the peak to the present size of the heap if that is larger.
func raise(peak *atomic.Int64) {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	for seen := peak.Load(); int64(stats.HeapAlloc) > seen && !peak.CompareAndSwap(seen, int64(stats.HeapAlloc)); seen = peak.Load() {
	}
}

// Guards against an error that lets a request with an endless head count as not dispatched.
func TestEndlessHeadMayHaveRun(t *testing.T) {
	s := responsetest.Serve(t, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 1<<20))
	_, err := receive(t.Context(), t, onesend.New(onesend.Options{}), s.Address, strings.NewReader("body"))
	assert.ErrorIs(t, err, endpoint.ErrBroken)
}
