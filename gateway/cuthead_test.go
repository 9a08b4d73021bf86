package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/routetable"
)

// cutHeads are responses whose head may be cut at any byte.
var cutHeads = map[string]string{
	"no length": "HTTP/1.1 200 OK\r\nX-Proof: p\r\n\r\n",
	"length":    "HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\n",
	"chunked":   "HTTP/1.1 200 OK\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n",
	"interim":   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\n",
}

// addCutEndpoint lists an endpoint that reads a request, sends a part of a response and ends the connection, by a reset or a close.
func (f *fixture) addCutEndpoint(part string, reset bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				f.dispatches.Add(1)
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, part)
			}
			if reset {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			_ = connection.Close()
		}
	}()
	f.directory.Apply(0, []*directory.Endpoint{{ID: "cut", Service: "s", Address: listener.Addr().String(), Slots: 4, Version: "v1"}}, nil, 0)
}

// Guards against a success with an empty or short body that is framed as whole, when an endpoint stops in the middle of its head.
func TestHeadThatIsCutIsNoSuccess(t *testing.T) {
	for name, head := range cutHeads {
		for _, kind := range []routetable.Kind{routetable.NonIdempotent, routetable.Idempotent, routetable.Stream} {
			for _, reset := range []bool{false, true} {
				for cut := 1; cut < len(head)-1; cut += 1 + cut%3 {
					f := newFixture(t, func(r *routetable.Route) { r.Kind, r.MaxEndpoints = kind, 1 })
					f.addCutEndpoint(head[:cut], reset)
					got := f.call(nil)
					assert.Assert(t, got.Status >= 500, "%s, %v, reset %v, cut after %q: status %d, body %q", name, kind, reset, head[max(0, cut-12):cut], got.Status, got.Body)
					assert.Assert(t, !strings.Contains(got.Header.Get("X-Proof"), "p"))
					assert.Assert(t, f.dispatches.Load() == 1, "%s: %d runs", name, f.dispatches.Load())
				}
			}
		}
	}
}
