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

// hostTable is a fixed list.
type hostTable struct{ hosts []hostlist.Host }

func (h *hostTable) List(context.Context) ([]hostlist.Host, error) { return h.hosts, nil }

// leavingWords notes what was told.
type leavingWords map[domain.EndpointID]bool

func (w leavingWords) SetEndpointLeaving(id domain.EndpointID, leaving bool) { w[id] = leaving }

func TestEndpointList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := hostlist.Host{Node: "n", DataCentre: "d", Address: "192.0.2.1:1", State: hostlist.StateLive}
		runner := hostlist.Host{Endpoint: "e", DataCentre: "d", Address: "192.0.2.2:1", State: hostlist.StateLeaving}
		table := &hostTable{[]hostlist.Host{entry, runner}}
		words := leavingWords{}
		list := NewEntryHostList(table)
		list.bind(words)

		hosts, err := list.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, hosts, []hostlist.Host{entry})
		assert.DeepEqual(t, words, leavingWords{"e": true})

		time.Sleep(listWordTTL)
		list.expire(time.Now())
		assert.Check(t, words["e"], "taken back too early")
		time.Sleep(time.Second)
		list.expire(time.Now())
		assert.Check(t, !words["e"], "not taken back although another node reads the list")

		_, err = list.List(t.Context())
		assert.NilError(t, err)
		assert.Check(t, words["e"])
		table.hosts[1].State = hostlist.StateLive
		_, err = list.List(t.Context())
		assert.NilError(t, err)
		assert.Check(t, !words["e"], "back in service and still leaving")
	})
}
