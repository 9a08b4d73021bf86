package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

func TestWrongHostListMakesNoNodeGone(t *testing.T) {
	cases := []struct {
		name   string
		modify func(x *testCluster)
	}{
		{"empty", func(x *testCluster) { x.hostList.remove(x.order...) }},
		{"a responsive node is missing", func(x *testCluster) { x.hostList.remove(x.order[1]) }},
		{"half is missing", func(x *testCluster) { x.hostList.remove(x.order[:5]...) }},
		{"unavailable", func(x *testCluster) { x.hostList.fail(hostlist.ErrUnavailable) }},
		{"another address", func(x *testCluster) {
			h := hostOf(memberOf(dcID(0), 1, 1))
			h.Address, h.DataCentre = "10.9.9.9:1", dcID(1)
			x.hostList.set(h)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, 2, 5, nil, func(t *testing.T, x *testCluster) {
				// One node is unreachable throughout, and listed unless the case
				// removes it.
				cut := x.order[4]
				rest := excluding(x.order, cut)
				for _, other := range rest {
					x.network.Cut(cut, other)
				}
				x.within(11*time.Second, "unreachable", func() bool { return x.all(rest, []domain.NodeID{cut}, StatusUnreachable) })
				c.modify(x)
				x.throughout(3*time.Minute, "no node gone", func() bool {
					return x.all(rest, rest, StatusAlive) && x.all(rest, []domain.NodeID{cut}, StatusUnreachable)
				})
			})
		})
	}
}

func TestAbsenceFromHostListMakesNodesGone(t *testing.T) {
	cases := []struct {
		name        string
		partitioned func(x *testCluster) []domain.NodeID
		recovery    time.Duration
	}{
		{"one node", func(x *testCluster) []domain.NodeID { return x.nodesIn(0)[1:2] }, 15 * time.Second},
		{"a data centre", func(x *testCluster) []domain.NodeID { return x.nodesIn(0) }, 15 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, 3, 5, nil, func(t *testing.T, x *testCluster) {
				partitioned := c.partitioned(x)
				rest := excluding(x.order, partitioned...)
				x.network.Partition(partitioned, rest)
				x.within(11*time.Second, "unreachable", func() bool { return x.all(rest, partitioned, StatusUnreachable) })
				time.Sleep(5 * time.Minute)
				assert.Assert(t, x.all(rest, partitioned, StatusUnreachable))
				x.hostList.remove(partitioned...)
				x.throughout(DefaultGoneAfter-time.Second, "not gone yet", func() bool { return x.all(rest, partitioned, StatusUnreachable) })
				x.within(25*time.Second, "gone", func() bool { return x.all(rest, partitioned, StatusGone) })
				// The list was wrong: the nodes are running, and refute.
				x.network.HealAll()
				x.within(c.recovery, "alive again", func() bool { return x.all(x.order, x.order, StatusAlive) })
			})
		})
	}
}

func TestHostListAddsHostsAndMarksLeaving(t *testing.T) {
	withTestCluster(t, 2, 4, nil, func(t *testing.T, x *testCluster) {
		unanswered := memberOf(dcID(0), 9, 0)
		x.hostList.set(hostOf(unanswered))
		unreachable := func() bool {
			for _, viewer := range x.order {
				if p, ok := x.nodes[viewer].Current().Peer(unanswered.Node); !ok || p.Status != StatusUnreachable || p.Incarnation != 0 {
					return false
				}
			}
			return true
		}
		x.within(15*time.Second, "listed as unreachable", unreachable)
		x.hostList.remove(unanswered.Node)
		x.within(2*DefaultGoneAfter, "gone", func() bool { return x.count(x.order, unanswered.Node, StatusGone) == len(x.order) })

		// The list marks a host as leaving, and then as live again.
		host := hostOf(memberOf(dcID(1), 2, 1))
		host.State = hostlist.StateLeaving
		x.hostList.set(host)
		x.within(15*time.Second, "leaving", func() bool { return x.all(x.order, []domain.NodeID{host.Node}, StatusLeaving) })
		host.State = hostlist.StateLive
		x.hostList.set(host)
		x.within(15*time.Second, "alive again", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}

func TestNodeNotYetOnHostListJoins(t *testing.T) {
	withTestCluster(t, 2, 4, nil, func(t *testing.T, x *testCluster) {
		// The new node is not listed. Its only seed is in another data centre.
		x.configure = func(o *Options) { o.HostList = nil; o.Seeds = []hostlist.Host{hostOf(memberOf(dcID(1), 0, 1))} }
		x.start(memberOf(dcID(0), 7, 1))
		x.within(8*time.Second, "alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
		x.throughout(5*time.Minute, "stays alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}
