package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

// Guards against requests without an answer when the node stops: a queued one was taken for one whose caller had left.
func TestStopGivesRequestsInProgressTheirFinalResponse(t *testing.T) {
	const slots, queued = 4, 3
	release := make(chan struct{})
	f := newFixture(t, func(r *routetable.Route) { r.Kind, r.MaxEndpoints = routetable.NonIdempotent, 1 }, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ctx, stop := context.WithCancelCause(t.Context())
	statuses := make(chan int, slots+queued)
	for range slots + queued {
		go func() {
			request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h.example/r/x", http.NoBody)
			request.RequestURI = "/r/x"
			request.Header.Set("X-Key", "key")
			w := httptest.NewRecorder()
			f.gateway.ServeHTTP(w, request)
			switch w.Code {
			case http.StatusServiceUnavailable:
				assert.Check(t, strings.Contains(w.Body.String(), string(outcomeNotRun)))
				assert.Check(t, w.Header().Get("Retry-After") != "")
			default:
				assert.Check(t, strings.Contains(w.Body.String(), string(outcomeUnknown)))
			}
			statuses <- w.Code
		}()
	}
	f.await(func() bool { return f.dispatches.Load() == slots && f.gateway.Active() == slots+queued })
	stop(ErrStopped)
	counts := make(map[int]int)
	for range slots + queued {
		counts[<-statuses]++
	}
	assert.DeepEqual(t, counts, map[int]int{http.StatusServiceUnavailable: queued, http.StatusBadGateway: slots})
	assert.Equal(t, f.dispatches.Load(), int64(slots))
}
