package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

func TestHostListLies(t *testing.T) {
	cases := []struct {
		name string
		lie  func(x *fleet)
	}{
		{"empty", func(x *fleet) { x.list.remove(x.order...) }},
		{"a node that answers is missing", func(x *fleet) { x.list.remove(x.order[1]) }},
		{"half is missing", func(x *fleet) { x.list.remove(x.order[:5]...) }},
		{"unavailable", func(x *fleet) { x.list.fail(hostlist.ErrUnavailable) }},
		{"another address", func(x *fleet) {
			h := hostOf(lifeOf(dcID(0), 1, 1))
			h.Address, h.DataCentre = "10.9.9.9:1", dcID(1)
			x.list.set(h)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 2, 5, nil, func(t *testing.T, x *fleet) {
				// One node is unreachable all the while, and listed but for the lie.
				cut := x.order[4]
				rest := others(x.order, cut)
				for _, other := range rest {
					x.network.Cut(cut, other)
				}
				x.within(11*time.Second, "unreachable", func() bool { return x.all(rest, []domain.NodeID{cut}, StatusUnreachable) })
				c.lie(x)
				x.throughout(3*time.Minute, "nobody gone", func() bool {
					return x.all(rest, rest, StatusAlive) && x.all(rest, []domain.NodeID{cut}, StatusUnreachable)
				})
			})
		})
	}
}

func TestHostListDecidesWhoIsGone(t *testing.T) {
	cases := []struct {
		name string
		lost func(x *fleet) []domain.NodeID
		back time.Duration
	}{
		{"one node", func(x *fleet) []domain.NodeID { return x.group(0)[1:2] }, 15 * time.Second},
		{"a data centre", func(x *fleet) []domain.NodeID { return x.group(0) }, 15 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 3, 5, nil, func(t *testing.T, x *fleet) {
				lost := c.lost(x)
				rest := others(x.order, lost...)
				x.network.Partition(lost, rest)
				x.within(11*time.Second, "unreachable", func() bool { return x.all(rest, lost, StatusUnreachable) })
				time.Sleep(5 * time.Minute)
				assert.Assert(t, x.all(rest, lost, StatusUnreachable))
				x.list.remove(lost...)
				x.throughout(DefaultGoneAfter-time.Second, "not gone yet", func() bool { return x.all(rest, lost, StatusUnreachable) })
				x.within(25*time.Second, "gone", func() bool { return x.all(rest, lost, StatusGone) })
				// The list was wrong: they are there, and refute.
				x.network.HealAll()
				x.within(c.back, "back", func() bool { return x.all(x.order, x.order, StatusAlive) })
			})
		})
	}
}

func TestHostListIntroducesAndSendsAway(t *testing.T) {
	inBubble(t, 2, 4, nil, func(t *testing.T, x *fleet) {
		never := lifeOf(dcID(0), 9, 0)
		x.list.set(hostOf(never))
		unreachable := func() bool {
			for _, viewer := range x.order {
				if p, ok := x.nodes[viewer].Current().Peer(never.Node); !ok || p.Status != StatusUnreachable || p.Incarnation != 0 {
					return false
				}
			}
			return true
		}
		x.within(15*time.Second, "listed as unreachable", unreachable)
		x.list.remove(never.Node)
		x.within(2*DefaultGoneAfter, "given up", func() bool { return x.count(x.order, never.Node, StatusGone) == len(x.order) })

		// Leaving, for the list, and then not.
		host := hostOf(lifeOf(dcID(1), 2, 1))
		host.State = hostlist.StateLeaving
		x.list.set(host)
		x.within(15*time.Second, "leaving", func() bool { return x.all(x.order, []domain.NodeID{host.Node}, StatusLeaving) })
		host.State = hostlist.StateLive
		x.list.set(host)
		x.within(15*time.Second, "staying", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}

func TestListLagsBehindANewNode(t *testing.T) {
	inBubble(t, 2, 4, nil, func(t *testing.T, x *fleet) {
		// The new node is not listed; it knows one seed, in another data centre.
		x.change = func(o *Options) { o.HostList = nil; o.Seeds = []hostlist.Host{hostOf(lifeOf(dcID(1), 0, 1))} }
		x.start(lifeOf(dcID(0), 7, 1))
		x.within(8*time.Second, "alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
		x.throughout(5*time.Minute, "stays alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}
