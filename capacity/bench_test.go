package capacity

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// benchOwner returns an owner with the given numbers of endpoints, organisations and
// queued requests, and every slot taken.
func benchOwner(endpoints, limit, organisations, waiting int) *ownerTest {
	var rows []config.EndpointRow
	for i := range endpoints {
		rows = append(rows, engine(domain.EndpointID(fmt.Sprintf("engine-%d", i)), "a", limit, "quote"))
	}
	o := newOwnerTest(Options{QueueLimit: 1 << 20}, rows...)
	for i := range organisations {
		id := organisationID(i)
		o.config.Organisations[id] = &config.Organisation{OrganisationRow: config.OrganisationRow{ID: id, Weight: 1 + i%5}}
	}
	for i := range endpoints*limit + waiting {
		o.request(benchRequest(i, organisations))
	}
	o.takeOut()
	return o
}

func organisationID(i int) domain.OrganisationID {
	return domain.OrganisationID(fmt.Sprintf("organisation-%d", i))
}

func benchRequest(i, organisations int) Request {
	return Request{
		Pool: quotePool, Organisation: organisationID(i * 7919 % organisations), Tier: domain.Tier(i % 3),
		PromptTokens: 100 + i%4000, AnswerTokens: 300, Deadline: time.Hour,
	}
}

// BenchmarkSlopeDecision measures one request at the owner: queuing it, a release, and
// the grant of the free slot to the first request in queue order.
func BenchmarkSlopeDecision(b *testing.B) {
	for _, s := range []struct{ endpoints, organisations, waiting int }{
		{4, 2900, 1000}, {33, 2900, 1000}, {130, 2900, 1000},
		{130, 100, 1000}, {130, 1000, 1000},
		{130, 2900, 0}, {130, 2900, 10000},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/organisations=%d/waiting=%d", s.endpoints, s.organisations, s.waiting), func(b *testing.B) {
			o := benchOwner(s.endpoints, 8, s.organisations, s.waiting)
			requests := make([]Request, 4096)
			for i := range requests {
				requests[i] = benchRequest(i, s.organisations)
			}
			held := make([]requestID, 0, 1<<12)
			for id := range o.holderOf(quotePool).grants {
				held = append(held, id)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				o.now = o.now.Add(time.Millisecond)
				o.request(requests[i%len(requests)])
				o.releaseGrant(held[i%len(held)])
				for _, out := range o.out {
					if out.decision.Kind == decisionGranted {
						held[i%len(held)] = out.decision.ID
					}
				}
				o.out = o.out[:0]
				i++
			}
		})
	}
}

// BenchmarkSlopeRevocation measures the selection of grants to revoke.
func BenchmarkSlopeRevocation(b *testing.B) {
	for _, endpoints := range []int{4, 33, 130} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			o := benchOwner(endpoints, 100, 100, 0)
			e := &entry{pool: o.pools[quotePool], request: newRequest(0)}
			for b.Loop() {
				if o.planRevocation(o.now, e) == nil {
					b.Fatal("no grant to revoke")
				}
			}
		})
	}
}

// BenchmarkSlopeTick measures a tick by the number of queued requests.
func BenchmarkSlopeTick(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			o := benchOwner(33, 8, 2900, waiting)
			for b.Loop() {
				o.tick(o.now)
			}
		})
	}
}

// BenchmarkSlopeOwnerMemory measures bytes at the owner per queued request, per grant
// and per endpoint.
func BenchmarkSlopeOwnerMemory(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		for _, s := range []struct {
			unit  string
			build func() *ownerTest
		}{
			{"waiting", func() *ownerTest { return benchOwner(1, 1, 1, n) }},
			{"grant", func() *ownerTest { return benchOwner(1, n, 1, 0) }},
			{"endpoint", func() *ownerTest { return benchOwner(n, 0, 1, 0) }},
		} {
			b.Run(fmt.Sprintf("%s=%d", s.unit, n), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					o := s.build()
					b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/"+s.unit)
					runtime.KeepAlive(o)
				}
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchPair returns the network of two nodes, one of which owns the pool, and the other
// one's service.
func benchPair(b *testing.B, limit int) (*peertest.Network, *Service) {
	network := peertest.NewNetwork()
	view := &config.StaticView{}
	view.Set(testSnapshot([]config.EndpointRow{engine("e1", "a", limit, "quote")}))
	peers := []domain.Member{{Node: "a1", Incarnation: 1, DataCentre: "a"}, {Node: "a2", Incarnation: 1, DataCentre: "a"}}
	var services []*Service
	for _, self := range peers {
		v := &staticMembers{}
		v.current.Store(&membership.Snapshot{Self: self, Peers: []membership.Peer{{Member: peers[0]}, {Member: peers[1]}}})
		services = append(services, New(Options{Transport: network.Node(self), Membership: v, Config: view}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, s := range services {
		go func() { _ = s.Run(ctx) }()
	}
	b.Cleanup(func() {
		cancel()
		network.Close()
	})
	time.Sleep(100 * time.Millisecond)
	owner, _ := services[0].currentLayout().owner("a", quotePool)
	network.ResetCounts()
	if owner.Node == "a1" {
		return network, services[1]
	}
	return network, services[0]
}

// BenchmarkSlopeMessages measures messages and payload bytes per request by the number
// of prefix blocks: the request, its grant and the release.
func BenchmarkSlopeMessages(b *testing.B) {
	for _, blocks := range []int{0, 16, 128} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			network, client := benchPair(b, 1000)
			a := benchRequest(1, 2900)
			a.Session, a.Fingerprint, a.FirstToken = "0123456789abcdef0123456789abcdef", 1<<63, 310*time.Millisecond
			for i := range blocks {
				a.Blocks = append(a.Blocks, mix(uint64(i)))
			}
			requests := 0
			for b.Loop() {
				grant, err := client.Acquire(context.Background(), a)
				if err != nil {
					b.Fatal(err)
				}
				grant.Release(Result{Dispatched: true, Complete: true, FirstToken: 200 * time.Millisecond, Total: 9 * time.Second, PromptTokens: 2000, AnswerTokens: 300, CachedTokens: 1500})
				requests++
			}
			time.Sleep(10 * time.Millisecond)
			sent := network.Total("")
			b.ReportMetric(float64(sent.Messages)/float64(requests), "messages/request")
			b.ReportMetric(float64(sent.Bytes)/float64(requests), "B/request")
		})
	}
}

// BenchmarkSlopeClientMemory measures bytes per grant held, at the owner and the holder
// together.
func BenchmarkSlopeClientMemory(b *testing.B) {
	for _, grants := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("grants=%d", grants), func(b *testing.B) {
			for b.Loop() {
				network, client := benchPair(b, grants)
				owner := heapBytes()
				for i := range grants {
					if _, err := client.Acquire(context.Background(), benchRequest(i, 2900)); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapBytes()-owner)/float64(grants), "B/grant-both-sides")
				runtime.KeepAlive(network)
			}
		})
	}
}

// BenchmarkSlopeRenewal measures the bytes of a renewal and its reply by the number of
// pools, and by the number of grants whose progress it reports.
func BenchmarkSlopeRenewal(b *testing.B) {
	for _, s := range []struct{ pools, progress int }{{1, 0}, {8, 0}, {33, 0}, {1, 10}, {1, 100}, {1, 1000}} {
		b.Run(fmt.Sprintf("pools=%d/progress=%d", s.pools, s.progress), func(b *testing.B) {
			var changes []progressChange
			for i := range s.progress {
				changes = append(changes, progressChange{requestID(1000000 + 18*i), progressFirstToken})
			}
			var size int
			for b.Loop() {
				var m renewal
				for i := range s.pools {
					m.Pools = append(m.Pools, poolRenewal{
						Pool:     domain.PoolName(fmt.Sprintf("model/quote-%02d", i)),
						Grants:   digest{Count: 300, Sum: mix(uint64(i))},
						Requests: digest{Count: 30, Sum: mix(uint64(i + 100))},
						Progress: encodeProgress(changes),
					})
				}
				request, _ := cbor.Marshal(m)
				reply, _ := cbor.Marshal(renewalReply{})
				size = len(request) + len(reply)
			}
			b.ReportMetric(float64(size), "B/renewal")
			b.ReportMetric(float64(size)/DefaultRenewInterval.Seconds(), "B/s")
		})
	}
}
