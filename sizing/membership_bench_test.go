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

// membershipSpeedup is the factor by which the intervals of periodic work are shortened.
const membershipSpeedup = 10

// staticHostList is a host list that does not change.
type staticHostList []hostlist.Host

func (l staticHostList) List(context.Context) ([]hostlist.Host, error) { return l, nil }

// membershipFleet is the membership services of several data centres on an in-memory
// network.
type membershipFleet struct {
	network  *peertest.Network
	hosts    staticHostList
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

// hostEntry returns the host list entry of a member.
func hostEntry(m domain.Member) hostlist.Host {
	return hostlist.Host{Node: m.Node, Address: m.Address, DataCentre: m.DataCentre, State: hostlist.StateLive}
}

// newMembershipFleet starts the nodes and waits until each sees all others alive and
// the updates about the start are no longer forwarded.
func newMembershipFleet(b *testing.B, dataCentres, nodes int) *membershipFleet {
	b.Helper()
	f := &membershipFleet{network: peertest.NewNetwork()}
	for dc := range dataCentres {
		for i := range nodes {
			f.hosts = append(f.hosts, hostEntry(fleetMember(dc, i, 1)))
		}
	}
	for dc := range dataCentres {
		for i := range nodes {
			f.start(fleetMember(dc, i, 1))
		}
	}
	f.await(b, func(p membership.Peer) bool { return p.Status == membership.StatusAlive })
	f.awaitSteadyState()
	return f
}

// awaitSteadyState waits until the traffic of a second is no longer lower than that of
// the second before, to within one part in steadyPrecision.
func (f *membershipFleet) awaitSteadyState() {
	const steadyPrecision = 20
	last, _ := f.count(time.Second)
	for {
		now, _ := f.count(time.Second)
		if last.Bytes-now.Bytes <= last.Bytes/steadyPrecision {
			return
		}
		last = now
	}
}

func (f *membershipFleet) start(m domain.Member) *membership.Service {
	s := membership.New(membership.Options{
		Transport:        f.network.Node(m),
		HostList:         f.hosts,
		Seeds:            f.hosts,
		ProbeInterval:    membership.DefaultProbeInterval / membershipSpeedup,
		ExchangeInterval: membership.DefaultExchangeInterval / membershipSpeedup,
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

// await waits until match holds for every peer in every node's view.
func (f *membershipFleet) await(b *testing.B, match func(membership.Peer) bool) {
	b.Helper()
	for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if f.allPeers(match) {
			return
		}
		assert.Assert(b, time.Since(start) < time.Minute, "membership did not converge within a minute")
	}
}

func (f *membershipFleet) allPeers(match func(membership.Peer) bool) bool {
	for _, s := range f.services {
		peers := s.Current().Peers
		for _, p := range peers {
			if len(peers) != len(f.hosts) || !match(p) {
				return false
			}
		}
	}
	return true
}

// count returns the traffic that all nodes send during window and the CPU time that the
// process uses in it.
func (f *membershipFleet) count(window time.Duration) (peertest.Count, time.Duration) {
	f.network.ResetCounts()
	cpuBefore := cpuTime()
	time.Sleep(window)
	return f.network.Total(""), cpuTime() - cpuBefore
}

func (f *membershipFleet) close() {
	for _, stop := range f.stops {
		stop()
	}
	f.network.Close()
}

// idleWindow is how long the traffic of an idle fleet is measured.
const idleWindow = 2 * time.Second

// BenchmarkSlopeMembershipRest measures what a node sends in an idle fleet, and its CPU
// time without that of the links, for several numbers of nodes in its data centre.
func BenchmarkSlopeMembershipRest(b *testing.B) {
	for _, nodes := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newMembershipFleet(b, 1, nodes)
			defer f.close()
			for b.Loop() {
				sent, used := f.count(idleWindow)
				seconds := idleWindow.Seconds() * membershipSpeedup * float64(nodes)
				b.ReportMetric(float64(sent.Messages)/seconds, "messages/s")
				b.ReportMetric(float64(sent.Bytes)/seconds, "B/s")
				b.ReportMetric(float64(used.Nanoseconds())/seconds, "cpu-ns/s")
			}
		})
	}
}

// BenchmarkSlopeMembershipExchange measures what all nodes of a data centre together
// send in an idle fleet, for several numbers of other data centres. Each data centre has
// four nodes.
func BenchmarkSlopeMembershipExchange(b *testing.B) {
	for _, others := range []int{1, 3, 7, 20} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			f := newMembershipFleet(b, others+1, 4)
			defer f.close()
			for b.Loop() {
				sent, _ := f.count(idleWindow)
				seconds := idleWindow.Seconds() * membershipSpeedup * float64(others+1)
				b.ReportMetric(float64(sent.Messages)/seconds, "messages/s")
				b.ReportMetric(float64(sent.Bytes)/seconds, "B/s")
			}
		})
	}
}

// BenchmarkSlopeMembershipMemory measures one node's heap for several numbers of
// members.
func BenchmarkSlopeMembershipMemory(b *testing.B) {
	for _, members := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var hosts []hostlist.Host
			for i := range members {
				hosts = append(hosts, hostEntry(fleetMember(i%21, i, 1)))
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

// restartWindow is the time from the start of a restart during which messages are
// counted.
const restartWindow = 4 * time.Second

// BenchmarkSlopeMembershipRestart measures what the fleet sends in addition to its idle
// traffic when a node leaves, stops and starts with a new incarnation, for several
// numbers of nodes in the fleet. Each data centre has eight nodes.
func BenchmarkSlopeMembershipRestart(b *testing.B) {
	for _, dataCentres := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("nodes=%d", 8*dataCentres), func(b *testing.B) {
			f := newMembershipFleet(b, dataCentres, 8)
			defer f.close()
			incarnation := domain.Incarnation(1)
			var messages, bytes float64
			for b.Loop() {
				idle, _ := f.count(restartWindow)
				f.network.ResetCounts()
				start := time.Now()
				incarnation++
				f.restart(b, incarnation)
				time.Sleep(restartWindow - time.Since(start))
				sent := f.network.Total("")
				messages += float64(sent.Messages - idle.Messages)
				bytes += float64(sent.Bytes - idle.Bytes)
			}
			b.ReportMetric(messages/float64(b.N), "messages/restart")
			b.ReportMetric(bytes/float64(b.N), "B/restart")
		})
	}
}

// restart stops the first node gracefully and starts it with a new incarnation.
func (f *membershipFleet) restart(b *testing.B, incarnation domain.Incarnation) {
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
