package limits

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// newSingleNode returns the Service of a single-node cluster.
func newSingleNode(organisations int) (*Service, []*config.Organisation) {
	var rows []config.OrganisationRow
	for i := range organisations {
		rows = append(rows, config.OrganisationRow{
			ID: domain.OrganisationID(fmt.Sprintf("organisation-%d", i)), InFlight: 1000, TokensPerMinute: 1 << 40,
		})
	}
	configuration, view := &configView{}, &memberView{}
	configuration.set(rows...)
	view.current.Store(&membership.Snapshot{Self: member(0), Peers: []membership.Peer{{Member: member(0)}}})
	s := New(Options{Transport: peertest.NewNetwork().Node(member(0)), Membership: view, Config: configuration})
	var orgs []*config.Organisation
	for _, row := range rows {
		orgs = append(orgs, configuration.Current().Organisations[row.ID])
	}
	return s, orgs
}

// BenchmarkSlopeAdmit measures the time to admit and release a request, by number of
// organisations in use.
func BenchmarkSlopeAdmit(b *testing.B) {
	for _, size := range []int{10, 300, 2900} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			s, orgs := newSingleNode(size)
			for _, org := range orgs {
				_, err := s.Admit(org, 1, 1)
				assert.NilError(b, err)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if p, err := s.Admit(orgs[i%size], 100, 100); err == nil {
					p.Release(100, 120)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/admit")
		})
	}
}

// BenchmarkAdmitParallel measures admission for one organisation on all processors
// concurrently.
func BenchmarkAdmitParallel(b *testing.B) {
	s, orgs := newSingleNode(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p, err := s.Admit(orgs[0], 100, 100); err == nil {
				p.Release(100, 120)
			}
		}
	})
}

// BenchmarkSlopeMemory measures a node's memory by number of organisations in use,
// including the owner's state for as many nodes.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, size := range []int{300, 1200, 4800} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			var held float64
			for b.Loop() {
				s, orgs := newSingleNode(size)
				before := heapBytes()
				for i, org := range orgs {
					_, _ = s.Admit(org, 1, 1)
					s.allocators.allocate(time.Now(), s.nodeSet.Load(), member(i%8), demand{Organisation: org.ID, Sequence: 1, Wanted: 3})
				}
				held = heapBytes() - before
				runtime.KeepAlive(s)
			}
			b.ReportMetric(held, "B/node")
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkAllocate measures the owner's time for one demand, by number of nodes that
// hold a share.
func BenchmarkAllocate(b *testing.B) {
	for _, nodes := range []int{7, 50, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			alloc := newAllocator("o")
			t := testParams(100*nodes, 1<<40, nodes)
			sequence := uint64(0)
			answer := func() {
				sequence++
				alloc.allocate(startTime, member(int(sequence)%nodes), demand{Sequence: sequence, Share: 3, InFlight: 2, Wanted: 3, Tokens: 10}, t)
			}
			for range nodes {
				answer()
			}
			for b.Loop() {
				answer()
			}
		})
	}
}

// timeCompression is the factor by which BenchmarkSlopeBytes shortens the intervals.
const timeCompression = 50

// BenchmarkSlopeBytes measures the traffic of limits to and from one of 50 nodes, by
// number of organisations in use there with one request in flight. It counts payloads
// without the link's overhead. Of a limit of 1000 each node has one reserved request.
func BenchmarkSlopeBytes(b *testing.B) {
	for _, limit := range []int{100, 1000} {
		for _, size := range []int{20, 80, 320} {
			b.Run(fmt.Sprintf("limit=%d/size=%d", limit, size), func(b *testing.B) {
				for b.Loop() {
					count, seconds := measureTraffic(size, limit)
					b.ReportMetric(float64(count.Bytes)/seconds, "B/s")
					b.ReportMetric(float64(count.Messages)/seconds, "messages/s")
				}
			})
		}
	}
}

// measureTraffic runs one node of 50 for a while and returns the messages sent by all
// nodes.
func measureTraffic(organisations, limit int) (peertest.Count, float64) {
	const nodes = 50
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := peertest.NewNetwork()
	defer network.Close()
	_, orgs := newSingleNode(organisations)
	configuration, view := &configView{}, &memberView{}
	var rows []config.OrganisationRow
	for _, org := range orgs {
		rows = append(rows, config.OrganisationRow{ID: org.ID, InFlight: limit})
	}
	configuration.set(rows...)
	snapshot := &membership.Snapshot{Self: member(0)}
	for i := range nodes {
		snapshot.Peers = append(snapshot.Peers, membership.Peer{Member: member(i)})
	}
	view.current.Store(snapshot)
	var services []*Service
	for i := range nodes {
		services = append(services, New(Options{
			Transport: network.Node(member(i)), Membership: view, Config: configuration,
			ReportInterval: DefaultReportInterval / timeCompression, SlowReportInterval: DefaultSlowReportInterval / timeCompression,
			SettleTime: time.Nanosecond, IdleTimeout: DefaultIdleTimeout / timeCompression,
		}))
	}
	go func() { _ = services[0].Run(ctx) }()
	var permits []*Permit
	for _, org := range configuration.Current().Organisations {
		if p, err := services[0].Admit(org, 1, 1); err == nil {
			permits = append(permits, p)
		}
	}
	time.Sleep(10 * time.Second / timeCompression)
	network.ResetCounts()
	start := time.Now()
	time.Sleep(40 * time.Second / timeCompression)
	seconds := time.Since(start).Seconds() * timeCompression
	count := network.Total(methodReport)
	releaseAll(permits)
	return count, seconds
}
