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

// limitedEndpoint serves streams and advertises a limit in requests a second, none if perSecond is empty.
func limitedEndpoint(perSecond string, got *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		if perSecond != "" {
			w.Header().Set("X-Limit", perSecond)
		}
		writeEvents(w, 1, 3)
	}
}

// moveToOtherDataCentre lists the endpoint in another data centre than the node's.
func (f *fixture) moveToOtherDataCentre(id domain.EndpointID) {
	e := *f.directory.Current().Endpoint(id)
	e.DataCentre = "far"
	f.directory.Apply(0, []*directory.Endpoint{&e}, nil, 0)
}

// Guards against sending an endpoint more requests than its advertised limit.
func TestAdvertisedLimitIsNotExceeded(t *testing.T) {
	var atLimited, atOther atomic.Int64
	f := newFixture(t, nil, limitedEndpoint("2", &atLimited), limitedEndpoint("", &atOther))
	f.moveToOtherDataCentre("e1") // the endpoint in the node's data centre is preferred
	call := func(n int) {
		for range n {
			assert.Equal(t, f.call(nil).Status, http.StatusOK)
		}
	}
	call(20)
	before := atLimited.Load()
	assert.Assert(t, before <= limittest.SlackRequests, "%d of 20 requests while the clock stood still", before)
	for range 4 {
		f.clock.Add(int64(time.Second))
		call(8)
	}
	within := atLimited.Load() - before
	assert.Assert(t, float64(within) <= limittest.MaxRequests(2), "%d of 32 requests within four seconds", within)
	assert.Assert(t, within >= 4, "the limit is not used up: %d of 32 requests", within)
	assert.Equal(t, atLimited.Load()+atOther.Load(), int64(52))
}

func TestResponsesThatChangeAdvertisedLimit(t *testing.T) {
	tests := []struct {
		name   string
		status int
		head   map[string]string
		limits bool
	}{
		{"served, no limit", http.StatusOK, map[string]string{"X-Signed": "yes"}, false},
		{"served, limit repeated", http.StatusOK, map[string]string{"X-Signed": "yes", "X-Limit": "3"}, true},
		{"unsigned", http.StatusOK, nil, true},
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
