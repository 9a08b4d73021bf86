package membership

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

const (
	// slopeTime is how long a fleet is watched, in virtual time.
	slopeTime = 60 * time.Second // long enough for 20 exchanges
	// linkOverheadBytes is what a message costs on the socket beyond its payload,
	// with TLS, WebSocket and the frame: the mean of a request with a method of 15
	// letters and of a reply, from the benchmarks of package wslink.
	linkOverheadBytes = 45
)

// slopeSizes are data centres and nodes in each.
var slopeSizes = [][2]int{{1, 7}, {1, 48}, {1, 200}, {3, 48}, {7, 48}, {21, 7}, {21, 48}}

// BenchmarkSlopeAtRest measures what a node sends, computes and holds while nothing
// happens. Bytes are those on the socket, in both directions together.
func BenchmarkSlopeAtRest(b *testing.B) {
	for _, size := range slopeSizes {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *fleet) {
				pairs := x.countPairs(methodPull)
				x.network.ResetCounts()
				cpu := processorTime()
				time.Sleep(slopeTime)
				cpu = processorTime() - cpu
				x.reportTraffic(b, "")
				b.ReportMetric(float64(pairs())/float64(len(x.order)), "exchange-links/node")
				perNode := float64(len(x.order)) * slopeTime.Seconds()
				b.ReportMetric(float64(cpu.Nanoseconds())/perNode, "cpu-ns/s/node")
			})
		})
	}
}

// BenchmarkSlopeRestart measures what one restart costs each node of the fleet
// beyond the traffic at rest, and the time until all know the new life.
func BenchmarkSlopeRestart(b *testing.B) {
	for _, size := range slopeSizes {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *fleet) {
				const restarts, window = 5, 30 * time.Second
				rest := x.spend(restarts*window, func() {})
				var known time.Duration
				changed := x.spend(restarts*window, func() {
					for i := range restarts {
						time.Sleep(time.Until(time.Now().Truncate(window).Add(window)))
						known += x.restart(x.group(i % size[0])[i])
					}
				})
				b.ReportMetric(known.Seconds()/restarts, "s-known")
				b.ReportMetric(float64(changed-rest)/float64(restarts*len(x.order)), "B/change/node")
			})
		})
	}
}

// restart replaces a life by a later one and returns how long it took until all
// knew.
func (x *fleet) restart(node domain.NodeID) time.Duration {
	later := x.nodes[node].self
	later.Incarnation++
	x.crash(node)
	start := time.Now()
	x.start(later)
	x.within(time.Minute, "known", func() bool {
		for _, viewer := range x.order {
			if p, _ := x.nodes[viewer].Current().Peer(node); !p.SameIncarnation(later) || p.Status != StatusAlive {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// BenchmarkSlopeDetection measures when a crash is noticed: by the first and the
// last node of the data centre, and of the others.
func BenchmarkSlopeDetection(b *testing.B) {
	for _, size := range [][2]int{{1, 7}, {3, 7}, {1, 48}, {3, 48}, {1, 200}} {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *fleet) {
				var first, near, far, worstNear, worstFar time.Duration
				rounds := min(size[1]/2, 10)
				for i := range rounds {
					// A change of phase between the crashes.
					time.Sleep(time.Duration(i) * 137 * time.Millisecond)
					node := x.group(0)[1]
					x.crash(node)
					start := time.Now()
					x.within(time.Minute, "noticed", func() bool { return x.count(x.group(0), node, StatusUnreachable) > 0 })
					first += time.Since(start)
					dead := []domain.NodeID{node}
					x.within(time.Minute, "noticed near", func() bool { return x.all(x.group(0), dead, StatusUnreachable) })
					near += time.Since(start)
					worstNear = max(worstNear, time.Since(start))
					x.within(time.Minute, "noticed", func() bool { return x.all(x.order, dead, StatusUnreachable) })
					far += time.Since(start)
					worstFar = max(worstFar, time.Since(start))
				}
				b.ReportMetric(first.Seconds()/float64(rounds), "s-first")
				b.ReportMetric(near.Seconds()/float64(rounds), "s-near-mean")
				b.ReportMetric(worstNear.Seconds(), "s-near-worst")
				b.ReportMetric(far.Seconds()/float64(rounds), "s-far-mean")
				b.ReportMetric(worstFar.Seconds(), "s-far-worst")
			})
		})
	}
}

// BenchmarkSlopePartition measures what it costs each node that half of the fleet
// is cut off from the other half, and that they meet again after a minute: between
// data centres, and, for comparison, as if all were one.
func BenchmarkSlopePartition(b *testing.B) {
	for _, size := range [][2]int{{2, 24}, {4, 24}, {8, 24}, {1, 48}, {1, 96}, {1, 192}} {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *fleet) {
				const window = 60 * time.Second
				rest := x.spend(window, func() {})
				one, other := x.order[:len(x.order)/2], x.order[len(x.order)/2:]
				parting := x.spend(window, func() {
					x.network.Partition(one, other)
					start := time.Now()
					parted := func() bool { return x.all(one, other, StatusUnreachable) && x.all(other, one, StatusUnreachable) }
					x.within(window, "parted", parted)
					b.ReportMetric(time.Since(start).Seconds(), "s-parted")
				})
				meeting := x.spend(window, func() {
					x.network.HealAll()
					b.ReportMetric(x.within(window, "met", func() bool { return x.all(x.order, x.order, StatusAlive) }).Seconds(), "s-met")
				})
				b.ReportMetric(float64(parting-rest)/float64(len(x.order)), "parting-B/node")
				b.ReportMetric(float64(meeting-rest)/float64(len(x.order)), "meeting-B/node")
			})
		})
	}
}

// spend returns the bytes on the socket while f runs and the window lasts.
func (x *fleet) spend(window time.Duration, f func()) int {
	x.network.ResetCounts()
	start := time.Now()
	f()
	time.Sleep(window - time.Since(start))
	total := x.network.Total("")
	return total.Bytes + linkOverheadBytes*total.Messages
}

// BenchmarkSlopeMemory measures what a node holds of its peers.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, peers := range []int{48, 336, 1008} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			var bytes float64
			for range b.N {
				before := heapInUse()
				s := New(Options{Transport: silentTransport{lifeOf(dcID(0), 0, 1)}})
				s.applyPull(freshTables(peers), false)
				bytes = float64(heapInUse()-before) / float64(peers)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(bytes, "B/peer")
		})
	}
}

// freshTables returns the tables of a fleet of so many nodes, with strings of
// their own.
func freshTables(peers int) pullReply {
	const size = 48
	var reply pullReply
	for d := range peers / size {
		each := dataCentreTable{DataCentre: dcID(d)}
		for i := range size {
			each.Records = append(each.Records, newRecord(lifeOf(dcID(d), i, 1), 0, intentServing))
		}
		reply.Tables = append(reply.Tables, each)
	}
	return reply
}

// BenchmarkCurrent is the cost of a snapshot on a request's path.
func BenchmarkCurrent(b *testing.B) {
	s := New(Options{Transport: silentTransport{lifeOf(dcID(0), 0, 1)}})
	s.applyPull(freshTables(1008), false)
	b.ReportAllocs()
	for range b.N {
		if _, ok := s.Current().Peer("dc07-20"); !ok {
			b.Fatal("not found")
		}
	}
}

// BenchmarkChange is the cost of taking one change over and publishing it.
func BenchmarkChange(b *testing.B) {
	for _, peers := range []int{48, 336, 1008} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			s := New(Options{Transport: silentTransport{lifeOf(dcID(0), 0, 1)}})
			s.applyPull(freshTables(peers), false)
			m := lifeOf(dcID(0), 1, 1)
			for i := range b.N {
				s.absorb(m, news{Version: uint64(i), Intent: intent(i % 2)})
			}
		})
	}
}

// inBenchmark runs f once, in virtual time, with a settled fleet.
func inBenchmark(b *testing.B, dcs, size int, f func(x *fleet)) {
	b.Helper()
	match := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(match, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := newFleet(t, nil)
			defer x.close()
			x.grow(dcs, size)
			x.settle()
			x.within(20*time.Minute, "quiet", x.quiet)
			f(x)
		})
	}}})
	assert.Assert(b, ok)
}

// countPairs returns a function that tells how many pairs of nodes have used the
// method since.
func (x *fleet) countPairs(method peer.Method) func() int {
	type pair struct{ from, to domain.NodeID }
	var pairs sync.Map
	x.network.Intercept(func(from, to domain.NodeID, m peer.Method, reply bool) peertest.Action {
		if m == method && !reply {
			pairs.Store(pair{from, to}, true)
		}
		return peertest.Action{}
	})
	return func() int {
		n := 0
		pairs.Range(func(any, any) bool { n++; return true })
		return n
	}
}

// quiet reports whether nobody passes on the news of the start any more.
func (x *fleet) quiet() bool {
	for _, n := range x.nodes {
		if n.State().Pending > 0 {
			return false
		}
	}
	return true
}

// reportTraffic reports what a node sends and receives a second.
func (x *fleet) reportTraffic(b *testing.B, prefix string) {
	total := x.network.Total("")
	perNode := float64(len(x.order)) * slopeTime.Seconds()
	onSocket := total.Bytes + linkOverheadBytes*total.Messages
	b.ReportMetric(2*float64(onSocket)/perNode, prefix+"B/s/node")
	b.ReportMetric(float64(total.Messages)/perNode, prefix+"sent-messages/s/node")
	busiest := 0
	for _, node := range x.order {
		sum := 0
		for _, c := range x.network.Counts(node) {
			sum += c.Bytes + linkOverheadBytes*c.Messages
		}
		busiest = max(busiest, sum)
	}
	b.ReportMetric(float64(busiest)/slopeTime.Seconds(), prefix+"busiest-sent-B/s")
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
