package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
	"hawthornrill.example/hawthornrill/routetable"
)

// lockedBuffer is a buffer for a log.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Lines returns the lines that contain the text.
func (b *lockedBuffer) Lines(text string) (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// logged starts the gateway again with a log that the test reads.
func (f *fixture) logged() *lockedBuffer {
	log := &lockedBuffer{}
	f.log = zerolog.New(log)
	f.start()
	return log
}

// addRaw lists an endpoint that is not one of the fixture's own.
func (f *fixture) addRaw(id, address string) {
	f.list(&directory.Endpoint{ID: domain.EndpointID(id), Service: "s", Address: address, Slots: 4, Version: "v1"})
}

// signed is what identifies an answer of an endpoint to the request 1.
const signed = "X-Id: 1\r\nX-Signed: yes\r\n"

// route makes a route one of the kind that can't be resumed and allows so many endpoints.
func route(kind routetable.Kind, endpoints int) func(*routetable.Route) {
	return func(r *routetable.Route) { r.Kind, r.Resumable, r.MaxEndpoints = kind, false, endpoints }
}

// Guards against malformed answers reaching callers, being repeated where that is not allowed, or counting as not run.
func TestMalformedAnswerIsLost(t *testing.T) {
	for _, form := range responsetest.Malformed(signed) {
		for name, edit := range map[string]func(*routetable.Route){
			"plain": route(routetable.NonIdempotent, 2), "one endpoint": route(routetable.Idempotent, 1), "stream": route(routetable.Stream, 1),
		} {
			for _, through := range []string{"directly", "through another node"} {
				t.Run(form.Name+", "+name+", "+through, func(t *testing.T) {
					endpoint := responsetest.Serve(t, form.Text)
					serving := newFixture(t, edit)
					serving.addRaw("broken", endpoint.Address)
					log := serving.logged()
					f := serving
					if through != "directly" {
						f = cutOff(t, edit)
						f.helpedBy("helper", serving.asHelper())
					}
					got := f.call(nil)
					assert.NilError(t, got.Err)
					assert.Equal(t, got.Status, http.StatusBadGateway, "%q", got.Body)
					assert.Assert(t, strings.Contains(got.Body, string(outcomeUnknown)), "%q", got.Body)
					assert.Equal(t, endpoint.Requests.Load(), int64(1))
					serving.await(func() bool { return serving.gateway.Active() == 0 })
					if !form.ByNetHTTP {
						assert.Assert(t, len(log.Lines(httpresponse.ErrMalformed.Error())) > 0, "no line says what was wrong")
					}
				})
			}
		}
	}
}

// Guards against a malformed answer that ends a request which may be repeated.
func TestMalformedAnswerIsRepeatedElsewhere(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n" + signed + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole"
	for _, form := range responsetest.Malformed(signed) {
		t.Run(form.Name, func(t *testing.T) {
			var first atomic.Bool
			respond := func(connection *net.TCPConn, request *http.Request) {
				text := sound
				if first.CompareAndSwap(false, true) {
					text = form.Text
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, text)
				_ = connection.CloseWrite()
			}
			one, other := responsetest.Respond(t, respond), responsetest.Respond(t, respond)
			f := newFixture(t, route(routetable.Idempotent, 2))
			f.addRaw("one", one.Address)
			f.addRaw("other", other.Address)
			got := f.call(nil)
			assert.NilError(t, got.Err)
			assert.Equal(t, got.Status, http.StatusOK)
			assert.Equal(t, got.Body, "whole")
			assert.Equal(t, one.Requests.Load(), int64(1))
			assert.Equal(t, other.Requests.Load(), int64(1))
		})
	}
}

// malformedPeer is a node that asks for the body of a forwarded request, if asks, and then sends the text.
func malformedPeer(t *testing.T, asks bool, text string) *responsetest.Server {
	return responsetest.Respond(t, func(connection *net.TCPConn, request *http.Request) {
		if asks {
			_, _ = io.WriteString(connection, "HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(connection, text)
		_ = connection.CloseWrite()
	})
}

// Guards against a malformed response of another node, which may have sent the request to an endpoint, being taken for "not run".
func TestMalformedResponseOfOtherNode(t *testing.T) {
	for _, form := range responsetest.Malformed(signed) {
		for _, asks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asks for the body: %v", form.Name, asks), func(t *testing.T) {
				f := cutOff(t, route(routetable.NonIdempotent, 2))
				f.helpedBy("broken", malformedPeer(t, asks, form.Text).Address)
				got := f.call(nil)
				assert.NilError(t, got.Err)
				notRun := strings.Contains(got.Body, string(outcomeNotRun))
				assert.Assert(t, got.Status >= 500, "%d %q", got.Status, got.Body)
				assert.Assert(t, !asks || !notRun, "the node had the whole request: %q", got.Body)
			})
		}
	}
}
