package onesend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/endpoint"
)

// restingServer refuses with the Retry-After values while refusing is true, and counts the requests.
type restingServer struct {
	*httptest.Server
	requests atomic.Int64
	refusing atomic.Bool
}

func newRestingServer(t *testing.T, status int, values ...string) *restingServer {
	s := &restingServer{}
	s.refusing.Store(true)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.requests.Add(1)
		if s.refusing.Load() {
			w.Header()["Retry-After"] = values
			w.WriteHeader(status)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// send sends a request and returns its error.
func (s *restingServer) send(t *testing.T, transport *Transport, method string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, s.URL, http.NoBody)
	assert.NilError(t, err)
	response, err := transport.Send(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	return response.Body.Close()
}

// Guards against sending to a host that has asked for a rest, whatever kind of request asks for it.
func TestNothingIsSentToHostDuringItsRest(t *testing.T) {
	var reported []Rest
	s := newRestingServer(t, http.StatusServiceUnavailable, "3")
	transport := New(Options{MaxRest: time.Minute, OnRest: func(r Rest) { reported = append(reported, r) }})
	now := boottime.Instant(time.Hour)
	transport.rests.clock = func() boottime.Instant { return now }
	assert.NilError(t, s.send(t, transport, http.MethodPost))
	now = now.Add(2900 * time.Millisecond)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		err := s.send(t, transport, method)
		assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
		assert.ErrorIs(t, err, ErrResting)
	}
	assert.Equal(t, s.requests.Load(), int64(1))
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].Kept, 3*time.Second)
	s.refusing.Store(false)
	assert.NilError(t, s.send(t, transport, http.MethodDelete), "a request that ends work is sent")
	now = now.Add(100 * time.Millisecond)
	assert.NilError(t, s.send(t, transport, http.MethodPost))
	assert.Equal(t, s.requests.Load(), int64(3))
}

func TestRestsThatAreKept(t *testing.T) {
	tests := []struct {
		name   string
		status int
		values []string
		kept   time.Duration
	}{
		{"fraction", http.StatusServiceUnavailable, []string{"0.5"}, 500 * time.Millisecond},
		{"too many requests", http.StatusTooManyRequests, []string{"2"}, 0},
		{"huge", http.StatusServiceUnavailable, []string{"1e30"}, time.Minute},
		{"repeated", http.StatusServiceUnavailable, []string{"1", "4"}, 4 * time.Second},
		{"malformed", http.StatusServiceUnavailable, []string{"soon"}, 0},
		{"negative", http.StatusServiceUnavailable, []string{"-1"}, 0},
		{"absent", http.StatusServiceUnavailable, nil, 0},
		{"another status", http.StatusInternalServerError, []string{"2"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newRestingServer(t, test.status, test.values...)
			transport := New(Options{MaxRest: time.Minute})
			now := boottime.Instant(time.Hour)
			transport.rests.clock = func() boottime.Instant { return now }
			assert.NilError(t, s.send(t, transport, http.MethodPost))
			if test.kept > 0 {
				now = now.Add(test.kept - 1)
				assert.ErrorIs(t, s.send(t, transport, http.MethodPost), ErrResting)
				now = now.Add(1)
			}
			assert.NilError(t, s.send(t, transport, http.MethodPost))
		})
	}
}

func TestRestsAreNotKeptByDefault(t *testing.T) {
	s := newRestingServer(t, http.StatusServiceUnavailable, "60")
	transport := New(Options{})
	for range 2 {
		assert.NilError(t, s.send(t, transport, http.MethodPost))
	}
}

func TestEndedRestsAreForgotten(t *testing.T) {
	r := newRests(Options{MaxRest: time.Minute})
	now := boottime.Instant(time.Hour)
	r.clock = func() boottime.Instant { return now }
	for _, host := range []string{"a", "b", "c"} {
		r.extend(host, time.Second)
		now = now.Add(time.Second)
	}
	r.extend("d", 0)
	assert.Equal(t, len(r.until), 0)
}
