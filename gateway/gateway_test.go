package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

const threeEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

func TestStreamResumesOnAnotherEndpoint(t *testing.T) {
	serve := breakAfterTwoEvents(func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "id: 3\nda") // truncated event
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	})
	f := newFixture(t, nil, serve, serve)
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
	assert.Equal(t, f.dispatches.Load(), int64(2))
}

func TestUnresumableStreamEndsIncomplete(t *testing.T) {
	tests := []struct {
		name   string
		edit   func(*routetable.Route)
		second http.HandlerFunc
	}{
		{"not resumable", func(r *routetable.Route) { r.Resumable = false }, nil},
		{"the second endpoint fails", nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "yes")
			w.WriteHeader(http.StatusInternalServerError)
		}},
		{"the second endpoint refuses", nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"the second endpoint's response is unsigned", nil, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 3\ndata: 3\n\n")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serve := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Last") != "" {
					test.second(w, r)
					return
				}
				writeEvents(w, 1, 2)
				abortConnection()
			}
			f := newFixture(t, test.edit, serve, serve)
			got := f.call(nil)
			assert.ErrorIs(t, got.Err, io.ErrUnexpectedEOF)
			assert.Assert(t, strings.HasPrefix(threeEvents, got.Body), "%q", got.Body)
		})
	}
}

func TestStreamResumesWithStaleKeys(t *testing.T) {
	var f *fixture
	serve := breakAfterTwoEvents(func(http.ResponseWriter) {
		f.config.age.Store(int64(testMaxKeyAge + time.Second))
		abortConnection()
	})
	f = newFixture(t, nil, serve, serve)
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
}

func TestStaleKeysAreRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	f.config.age.Store(int64(testMaxKeyAge + 1))
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	assert.Equal(t, f.dispatches.Load(), int64(0))
}

func TestOutdatedConfigurationIsRefused(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	f.config.behind.Store(int64(testMaxConfigLag))
	assert.Equal(t, f.call(nil).Status, http.StatusOK)
	f.config.behind.Store(int64(testMaxConfigLag + 1))
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	assert.Equal(t, f.dispatches.Load(), int64(1))
}

func TestSuspensionBeforeDispatchCountsAgainstDeadline(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Timeout = time.Minute }, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	// The host is suspended during admission.
	f.config.onAge = func() { f.clock.Add(int64(2 * time.Minute)) }
	got := f.call(nil)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Equal(t, f.dispatches.Load(), int64(0))
}

func TestSuspensionWhileQueuedCountsAgainstDeadline(t *testing.T) {
	const slots = 4
	busy, free := make(chan struct{}, slots), make(chan struct{})
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		busy <- struct{}{}
		<-free
		writeEvents(w, 1, 1)
	})
	var callers sync.WaitGroup
	for range slots {
		callers.Go(func() { f.call(nil) })
	}
	for range slots {
		<-busy
	}
	waiting := make(chan result)
	go func() { waiting <- f.call(nil) }()
	for f.gateway.Active() <= slots {
		time.Sleep(time.Millisecond)
	}
	f.clock.Add(int64(2 * time.Minute))
	close(free)
	assert.Equal(t, (<-waiting).Status, http.StatusServiceUnavailable)
	callers.Wait()
	assert.Equal(t, f.dispatches.Load(), int64(slots))
}

func TestPlainServiceRequests(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "whole")
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "yes")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	refused := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	replaced := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	var requests atomic.Int64
	replacedTwice := func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) <= 2 {
			replaced(w, r)
			return
		}
		ok(w, r)
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "rubbish") }
	foreign := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "another")
		w.Header().Set("X-Signed", "yes")
		_, _ = io.WriteString(w, "another's")
	}
	tests := []struct {
		name      string
		kind      routetable.Kind
		attempts  int
		endpoints []http.HandlerFunc
		status    int
		sends     int64
	}{
		{"answered", routetable.NonIdempotent, 1, []http.HandlerFunc{ok}, 200, 1},
		{"the endpoint was replaced", routetable.NonIdempotent, 1, []http.HandlerFunc{replacedTwice, replacedTwice, replacedTwice}, 200, 3},
		{"all endpoints were replaced", routetable.NonIdempotent, 1, []http.HandlerFunc{replaced, replaced}, 503, 2},
		{"idempotent, response lost, retried up to the bound", routetable.Idempotent, 2, []http.HandlerFunc{cut, cut, cut}, 502, 2},
		{"non-idempotent, response lost, not retried", routetable.NonIdempotent, 2, []http.HandlerFunc{cut, ok}, 0, 0},
		{"non-idempotent, refused by all", routetable.NonIdempotent, 2, []http.HandlerFunc{refused, refused}, 503, 2},
		{"unsigned response is not forwarded", routetable.NonIdempotent, 1, []http.HandlerFunc{unsigned}, 502, 1},
		{"another request's response is not forwarded", routetable.NonIdempotent, 1, []http.HandlerFunc{foreign}, 504, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, func(r *routetable.Route) {
				r.Kind, r.Resumable, r.MaxEndpoints = test.kind, false, test.attempts
				r.Timeout, r.FirstByte = time.Second, time.Minute
			}, test.endpoints...)
			got := f.call(nil)
			if test.status == 0 {
				// Either endpoint may be chosen; what matters is that the request ran once.
				assert.Assert(t, got.Status == 200 || got.Status == 502)
				assert.Equal(t, f.dispatches.Load(), int64(1))
				return
			}
			assert.Equal(t, got.Status, test.status)
			assert.Equal(t, f.dispatches.Load(), test.sends)
		})
	}
}

func TestCallerCannotForgeInternalHeaders(t *testing.T) {
	var seen http.Header
	var target string
	f := newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
		seen, target = r.Header.Clone(), r.RequestURI
		writeEvents(w, 1, 1)
	})
	got := f.call(func(r *http.Request) {
		r.Header.Set("X-Organisation", "forged")
		r.Header.Set("Connection", "X-Private")
		r.Header.Set("X-Private", "1")
		r.Header.Set("X-Kept", "1")
	})
	assert.NilError(t, got.Err)
	assert.Equal(t, seen.Get("X-Organisation"), "o")
	assert.Equal(t, seen.Get("X-Key"), "")
	assert.Equal(t, seen.Get("X-Private"), "")
	assert.Equal(t, seen.Get("X-Kept"), "1")
	assert.Equal(t, target, "/r/x?q=1")
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		edit   func(*http.Request)
		status int
	}{
		{"no route", func(r *http.Request) { r.URL.Path = "/none/" }, 404},
		{"another host", func(r *http.Request) { r.Host = "other.example" }, 404},
		{"no key", func(r *http.Request) { r.Header.Del("X-Key") }, 401},
		{"unknown key", func(r *http.Request) { r.Header.Set("X-Key", "no") }, 401},
		{"body too long", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<10)))
			r.ContentLength = 2 << 10
		}, 413},
		{"head too long", func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 4<<10)) }, 431},
		{"over the limit", func(r *http.Request) { r.Header.Set("X-Tokens", "900") }, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
			assert.Equal(t, f.call(test.edit).Status, test.status)
			if test.status == 200 {
				got := f.call(test.edit)
				assert.Equal(t, got.Status, http.StatusTooManyRequests)
				assert.Assert(t, got.Header.Get("Retry-After") != "")
			}
		})
	}
}

func TestCallerDisconnectCancelsDispatch(t *testing.T) {
	ended := make(chan struct{})
	longTimeout := func(r *routetable.Route) { r.Timeout = time.Hour } // so that only the disconnect ends the request
	f := newFixture(t, longTimeout, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/r/x", http.NoBody)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "1")
	request.Header.Set("X-Key", "key")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	<-ended
}

func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, func(r *routetable.Route) { r.Timeout, r.Resumable = 300*time.Millisecond, false }, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		writeEvents(w, 1, 1)
		for id := 2; r.Context().Err() == nil; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1<<10))
		}
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	<-ended
	for f.gateway.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestWriteDeadlineDoesNotOutliveRequest(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Timeout = 50 * time.Millisecond }, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	assert.Equal(t, f.call(nil).Status, http.StatusOK)
	time.Sleep(50*time.Millisecond + writeGrace)
	got := f.call(func(r *http.Request) { r.Header.Set("X-Key", "none") })
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Status, http.StatusUnauthorized)
}
