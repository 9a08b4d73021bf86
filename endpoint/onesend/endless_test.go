package onesend_test

import (
	"context"
	"runtime/debug"
	"strings"
	"sync"
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
			s := responsetest.ServeEndless(t, test.begin, test.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			transport := onesend.New(onesend.Options{})
			var calls sync.WaitGroup
			for range crowd {
				calls.Go(func() {
					_, err := receive(ctx, t, transport, s.Address, strings.NewReader("body"))
					assert.Check(t, err != nil)
				})
			}
			calls.Wait()
			assert.NilError(t, ctx.Err(), "the client reads for ever")
			t.Logf("the heap grew by %.1f MB, %.1f MB were sent", float64(s.HeapGrowth())/(1<<20), float64(s.Written.Load())/(1<<20))
			assert.Assert(t, s.HeapGrowth() < maxHeapGrowth)
			assert.Assert(t, s.Written.Load() < crowd*maxUnread)
		})
	}
}

// Guards against an error that lets a request with an endless head count as not dispatched.
func TestEndlessHeadMayHaveRun(t *testing.T) {
	s := responsetest.Serve(t, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 1<<20))
	_, err := receive(t.Context(), t, onesend.New(onesend.Options{}), s.Address, strings.NewReader("body"))
	assert.ErrorIs(t, err, endpoint.ErrBroken)
}
