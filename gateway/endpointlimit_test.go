package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/endpointlimit/limittest"
	"hawthornrill.example/hawthornrill/gossip"
)

// limited serves streams and names a limit of so many requests a second, if that is not empty.
func limited(perSecond string, got *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		if perSecond != "" {
			w.Header().Set("X-Limit", perSecond)
		}
		events(w, 1, 3)
	}
}

// moveAway lists the endpoint in another data centre than the node's.
func (f *fixture) moveAway(id domain.EndpointID) {
	e := *f.directory.Current().Endpoint(id)
	e.DataCentre = "far"
	f.directory.Apply(0, []*directory.Endpoint{&e}, nil, 0)
}

// Guards against endpoints that get more requests than they have named to take from all nodes together.
func TestEndpointGetsNoMoreThanTheLimitItNames(t *testing.T) {
	var atLimited, atOther atomic.Int64
	f := newFixture(t, nil, limited("2", &atLimited), limited("", &atOther))
	f.moveAway("e1") // the near one goes first
	call := func(n int) {
		for range n {
			assert.Equal(t, f.call(nil).Status, http.StatusOK)
		}
	}
	call(20)
	before := atLimited.Load()
	assert.Assert(t, before <= limittest.SlackRequests, "%d of 20 requests while no time passed", before)
	for range 4 {
		f.clock.Add(int64(time.Second))
		call(8)
	}
	within := atLimited.Load() - before
	assert.Assert(t, float64(within) <= limittest.MaxRequests(2), "%d of 32 requests within four seconds", within)
	assert.Assert(t, within >= 4, "the endpoint is used as far as its limit allows: %d of 32 requests", within)
	assert.Equal(t, atLimited.Load()+atOther.Load(), int64(52))
}

func TestAnswersThatChangeALimit(t *testing.T) {
	tests := []struct {
		name   string
		status int
		head   map[string]string
		limits bool
	}{
		{"served, none named", http.StatusOK, map[string]string{"X-Signed": "yes"}, false},
		{"served, named again", http.StatusOK, map[string]string{"X-Signed": "yes", "X-Limit": "3"}, true},
		{"not signed", http.StatusOK, nil, true},
		{"failed", http.StatusInternalServerError, map[string]string{"X-Signed": "yes"}, true},
		{"refused", http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"}, true},
		{"another endpoint at the address", http.StatusMisdirectedRequest, map[string]string{"X-Not-Run": "1", "X-Limit": "0"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) {
				for name, value := range test.head {
					w.Header().Set(name, value)
				}
				w.WriteHeader(test.status)
			})
			f.endpointLimits.RecordAdvertisement("e0", f.now(), endpointlimit.Advertisement{Kind: endpointlimit.Advertised, PerSecond: 2})
			f.clock.Add(int64(time.Second))
			f.call(nil)
			report := gossip.Report{}
			f.endpointLimits.AddToReport(&report)
			assert.Equal(t, len(report.Limits), 1)
			assert.Equal(t, !report.Limits[0].Ended, test.limits)
			assert.Assert(t, report.Limits[0].Ended || report.Limits[0].PerSecond >= 2, "%v", report.Limits)
		})
	}
}
