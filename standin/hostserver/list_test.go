package hostserver_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/hostlist/httphostlist"
	"hawthornrill.example/hawthornrill/standin/hostserver"
)

func host(node domain.NodeID, state hostlist.State) hostlist.Host {
	return hostlist.Host{Node: node, Address: "127.0.0.1:1", DataCentre: "taf", State: state}
}

func TestLagAndStateOverrides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := hostserver.New(10*time.Second, host("a", hostlist.StateLive))
		assertListed := func(want ...hostlist.Host) {
			t.Helper()
			got, err := list.List(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, got, append([]hostlist.Host{}, want...))
		}
		list.Put(host("b", hostlist.StateLive))
		time.Sleep(5 * time.Second)
		list.Put(host("a", hostlist.StateLeaving))
		assertListed(host("a", hostlist.StateLive))
		time.Sleep(5 * time.Second)
		assertListed(host("a", hostlist.StateLive), host("b", hostlist.StateLive))
		time.Sleep(5 * time.Second)
		assertListed(host("a", hostlist.StateLeaving), host("b", hostlist.StateLive))
		list.SetFaults(hostserver.Faults{StateOverrides: map[domain.NodeID]hostlist.State{"a": hostlist.StateLive, "b": hostserver.Absent}})
		assertListed(host("a", hostlist.StateLive))
		list.SetFaults(hostserver.Faults{})
		list.Remove("a")
		time.Sleep(10 * time.Second)
		assertListed(host("b", hostlist.StateLive))
		list.SetFaults(hostserver.Faults{Down: true})
		_, err := list.List(t.Context())
		assert.ErrorIs(t, err, hostlist.ErrUnavailable)
	})
}

func TestListOverHTTP(t *testing.T) {
	list := hostserver.New(0)
	server := httptest.NewServer(hostserver.NewHandler(list))
	defer server.Close()
	client := httphostlist.New(httphostlist.Options{BaseURL: server.URL})
	list.Set(host("b", hostlist.StateLeaving), host("a", hostlist.StateLive))
	hosts, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []hostlist.Host{host("a", hostlist.StateLive), host("b", hostlist.StateLeaving)})
	list.SetFaults(hostserver.Faults{Down: true})
	_, err = client.List(t.Context())
	assert.ErrorIs(t, err, hostlist.ErrUnavailable)
}
