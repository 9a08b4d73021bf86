package sizing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// membershipCompress is how many times faster than usual the periodic work runs.
const membershipCompress = 10

// fixedList is a host list that does not change.
type fixedList []hostlist.Host

func (l fixedList) List(context.Context) ([]hostlist.Host, error) { return l, nil }

// memberFleet is the membership services of some data centres over an in-memory
// network.
type memberFleet struct {
	network  *peertest.Network
	hosts    fixedList
	services []*membership.Service
	stops    []func()
}

func fleetMember(dc, i int, incarnation domain.Incarnation) domain.Member {
	return domain.Member{
		Node:        domain.NodeID(fmt.Sprintf("dc%02d-host-%02d", dc, i)),
		Incarnation: incarnation,
		DataCentre:  domain.DataCentre(fmt.Sprintf("dc%02d", dc)),
		Address:     "198.51.100.17:7080",
	}
}

// hostOf lists a member.
func hostOf(m domain.Member) hostlist.Host {
	return hostlist.Host{Node: m.Node, Address: m.Address, DataCentre: m.DataCentre, State: hostlist.StateLive}
}

// newMemberFleet starts the nodes and waits until each sees all others alive and
// the news of the start is no longer passed on.
func newMemberFleet(b *testing.B, dataCentres, nodes int) *memberFleet {
	b.Helper()
	f := &memberFleet{network: peertest.NewNetwork()}
	for dc := range dataCentres {
		for i := range nodes {
			f.hosts = append(f.hosts, hostOf(fleetMember(dc, i, 1)))
		}
	}
	for dc := range dataCentres {
		for i := range nodes {
			f.start(fleetMember(dc, i, 1))
		}
	}
	f.await(b, func(p membership.Peer) bool { return p.Status == membership.StatusAlive })
	f.awaitRest()
	return f
}

// awaitRest waits until a second's traffic is no less than that of the second
// before, to one part in restPrecision.
func (f *memberFleet) awaitRest() {
	const restPrecision = 20
	last, _ := f.count(time.Second)
	for {
		now, _ := f.count(time.Second)
		if last.Bytes-now.Bytes <= last.Bytes/restPrecision {
			return
		}
		last = now
	}
}

func (f *memberFleet) start(m domain.Member) *membership.Service {
	s := membership.New(membership.Options{
		Transport:        f.network.Node(m),
		HostList:         f.hosts,
		Seeds:            f.hosts,
		ProbeInterval:    membership.DefaultProbeInterval / membershipCompress,
		ExchangeInterval: membership.DefaultExchangeInterval / membershipCompress,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	f.services = append(f.services, s)
	f.stops = append(f.stops, func() {
		cancel()
		<-ended
	})
	return s
}

// await waits until all nodes see all peers so.
func (f *memberFleet) await(b *testing.B, is func(membership.Peer) bool) {
	b.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if f.all(is) {
			return
		}
		assert.Assert(b, time.Since(began) < time.Minute, "membership does not settle")
	}
}

func (f *memberFleet) all(is func(membership.Peer) bool) bool {
	for _, s := range f.services {
		peers := s.Current().Peers
		for _, p := range peers {
			if len(peers) != len(f.hosts) || !is(p) {
				return false
			}
		}
	}
	return true
}

// count returns what all nodes send in a while.
func (f *memberFleet) count(window time.Duration) (peertest.Count, time.Duration) {
	f.network.ResetCounts()
	began := processorTime()
	time.Sleep(window)
	return f.network.Total(""), processorTime() - began
}

func (f *memberFleet) close() {
	for _, stop := range f.stops {
		stop()
	}
	f.network.Close()
}

// restWindow is for how long a fleet at rest is counted.
const restWindow = 2 * time.Second

// BenchmarkSlopeMembershipRest measures what a node sends at rest, and the
// processor time without the link's, by the nodes of its data centre.
func BenchmarkSlopeMembershipRest(b *testing.B) {
	for _, nodes := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newMemberFleet(b, 1, nodes)
			defer f.close()
			for b.Loop() {
				sent, used := f.count(restWindow)
				seconds := restWindow.Seconds() * membershipCompress * float64(nodes)
				b.ReportMetric(float64(sent.Messages)/seconds, "messages/s")
				b.ReportMetric(float64(sent.Bytes)/seconds, "B/s")
				b.ReportMetric(float64(used.Nanoseconds())/seconds, "cpu-ns/s")
			}
		})
	}
}

// BenchmarkSlopeMembershipExchange measures what the nodes of a data centre send
// together at rest, by the other data centres of the fleet; each has four nodes.
func BenchmarkSlopeMembershipExchange(b *testing.B) {
	for _, others := range []int{1, 3, 7, 20} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			f := newMemberFleet(b, others+1, 4)
			defer f.close()
			for b.Loop() {
				sent, _ := f.count(restWindow)
				seconds := restWindow.Seconds() * membershipCompress * float64(others+1)
				b.ReportMetric(float64(sent.Messages)/seconds, "messages/s")
				b.ReportMetric(float64(sent.Bytes)/seconds, "B/s")
			}
		})
	}
}

// BenchmarkSlopeMembershipMemory measures what one node holds by the members.
func BenchmarkSlopeMembershipMemory(b *testing.B) {
	for _, members := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var hosts []hostlist.Host
			for i := range members {
				hosts = append(hosts, hostOf(fleetMember(i%21, i, 1)))
			}
			for b.Loop() {
				network := peertest.NewNetwork()
				before := heapBytes()
				s := membership.New(membership.Options{Transport: network.Node(fleetMember(0, 99, 1)), Seeds: hosts})
				held := heapBytes() - before
				assert.Equal(b, len(s.Current().Peers), members+1)
				b.ReportMetric(float64(held), "B/node")
				network.Close()
			}
		})
	}
}

// restartWindow is how long after a restart its messages are counted.
const restartWindow = 4 * time.Second

// BenchmarkSlopeMembershipRestart measures what the fleet sends beyond its rest
// when a node leaves, ends and comes back as another life, by the nodes of the
// fleet; a data centre has eight.
func BenchmarkSlopeMembershipRestart(b *testing.B) {
	for _, dataCentres := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("nodes=%d", 8*dataCentres), func(b *testing.B) {
			f := newMemberFleet(b, dataCentres, 8)
			defer f.close()
			incarnation := domain.Incarnation(1)
			var messages, bytes float64
			for b.Loop() {
				rest, _ := f.count(restartWindow)
				f.network.ResetCounts()
				began := time.Now()
				incarnation++
				f.restart(b, incarnation)
				time.Sleep(restartWindow - time.Since(began))
				sent := f.network.Total("")
				messages += float64(sent.Messages - rest.Messages)
				bytes += float64(sent.Bytes - rest.Bytes)
			}
			b.ReportMetric(messages/float64(b.N), "messages/restart")
			b.ReportMetric(bytes/float64(b.N), "B/restart")
		})
	}
}

// restart ends the first node's life gracefully and begins the next.
func (f *memberFleet) restart(b *testing.B, incarnation domain.Incarnation) {
	b.Helper()
	assert.NilError(b, f.services[0].Leave(b.Context()))
	assert.NilError(b, f.services[0].AnnounceStopped(b.Context()))
	f.stops[0]()
	s := f.start(fleetMember(0, 0, incarnation))
	last := len(f.services) - 1
	f.services[0], f.stops[0] = s, f.stops[last]
	f.services, f.stops = f.services[:last], f.stops[:last]
	node := fleetMember(0, 0, incarnation).Node
	f.await(b, func(p membership.Peer) bool {
		return p.Node != node || p.Incarnation == incarnation && p.Status == membership.StatusAlive
	})
}
