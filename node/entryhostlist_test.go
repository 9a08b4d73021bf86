package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

// staticHostList is a fixed host list.
type staticHostList struct{ hosts []hostlist.Host }

func (h *staticHostList) List(context.Context) ([]hostlist.Host, error) { return h.hosts, nil }

// leavingRecorder records the last state reported for each endpoint.
type leavingRecorder map[domain.EndpointID]bool

func (r leavingRecorder) SetEndpointLeaving(id domain.EndpointID, leaving bool) { r[id] = leaving }

// TestEntryHostList checks that endpoints are left out of the list, and that the
// leaving state of an endpoint is reported, kept for leavingReportTTL after the last
// read and withdrawn after that or when the endpoint is in service again.
func TestEntryHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := hostlist.Host{Node: "n", DataCentre: "d", Address: "192.0.2.1:1", State: hostlist.StateLive}
		endpoint := hostlist.Host{Endpoint: "e", DataCentre: "d", Address: "192.0.2.2:1", State: hostlist.StateLeaving}
		source := &staticHostList{[]hostlist.Host{entry, endpoint}}
		recorder := leavingRecorder{}
		list := NewEntryHostList(source)
		list.bind(recorder)

		hosts, err := list.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, hosts, []hostlist.Host{entry})
		assert.DeepEqual(t, recorder, leavingRecorder{"e": true})

		time.Sleep(leavingReportTTL)
		list.expire(time.Now())
		assert.Check(t, recorder["e"], "withdrawn before leavingReportTTL has passed")
		time.Sleep(time.Second)
		list.expire(time.Now())
		assert.Check(t, !recorder["e"], "not withdrawn after leavingReportTTL")

		_, err = list.List(t.Context())
		assert.NilError(t, err)
		assert.Check(t, recorder["e"])
		source.hosts[1].State = hostlist.StateLive
		_, err = list.List(t.Context())
		assert.NilError(t, err)
		assert.Check(t, !recorder["e"], "still reported as leaving after its return to service")
	})
}
