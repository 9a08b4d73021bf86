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
	// slopeDuration is how long a cluster is measured, in virtual time.
	slopeDuration = 60 * time.Second // long enough for 20 exchanges
	// linkOverheadBytes is the overhead of a message on the socket beyond its
	// payload (TLS, WebSocket and frame): the mean of a request with a method of
	// 15 letters and of a reply, from the benchmarks of package wslink.
	linkOverheadBytes = 45
)

// slopeSizes are numbers of data centres and of nodes in each.
var slopeSizes = [][2]int{{1, 7}, {1, 48}, {1, 200}, {3, 48}, {7, 48}, {21, 7}, {21, 48}}

// BenchmarkSlopeAtRest measures a node's traffic and processor time while the
// membership does not change. Bytes are those on the socket, both directions
// together.
func BenchmarkSlopeAtRest(b *testing.B) {
	for _, size := range slopeSizes {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *testCluster) {
				pairs := x.countPairs(methodPull)
				x.network.ResetCounts()
				cpu := processorTime()
				time.Sleep(slopeDuration)
				cpu = processorTime() - cpu
				x.reportTraffic(b, "")
				b.ReportMetric(float64(pairs())/float64(len(x.order)), "exchange-links/node")
				perNode := float64(len(x.order)) * slopeDuration.Seconds()
				b.ReportMetric(float64(cpu.Nanoseconds())/perNode, "cpu-ns/s/node")
			})
		})
	}
}

// BenchmarkSlopeRestart measures the traffic per node that one restart adds to
// that of an idle cluster, and the time until all nodes know the new incarnation.
func BenchmarkSlopeRestart(b *testing.B) {
	for _, size := range slopeSizes {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *testCluster) {
				const restarts, window = 5, 30 * time.Second
				atRest := x.measureBytes(restarts*window, func() {})
				var known time.Duration
				changed := x.measureBytes(restarts*window, func() {
					for i := range restarts {
						time.Sleep(time.Until(time.Now().Truncate(window).Add(window)))
						known += x.restart(x.nodesIn(i % size[0])[i])
					}
				})
				b.ReportMetric(known.Seconds()/restarts, "s-known")
				b.ReportMetric(float64(changed-atRest)/float64(restarts*len(x.order)), "B/change/node")
			})
		})
	}
}

// restart replaces a node's incarnation by a later one and returns the time until
// all nodes knew it.
func (x *testCluster) restart(node domain.NodeID) time.Duration {
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

// BenchmarkSlopeDetection measures the time until a crash is detected by the
// first and by the last node of the data centre, and by all nodes.
func BenchmarkSlopeDetection(b *testing.B) {
	for _, size := range [][2]int{{1, 7}, {3, 7}, {1, 48}, {3, 48}, {1, 200}} {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *testCluster) {
				var first, local, all, worstLocal, worstAll time.Duration
				rounds := min(size[1]/2, 10)
				for i := range rounds {
					// Vary the phase between the crashes.
					time.Sleep(time.Duration(i) * 137 * time.Millisecond)
					node := x.nodesIn(0)[1]
					x.crash(node)
					start := time.Now()
					x.within(time.Minute, "detected", func() bool { return x.count(x.nodesIn(0), node, StatusUnreachable) > 0 })
					first += time.Since(start)
					crashed := []domain.NodeID{node}
					x.within(time.Minute, "detected in the local data centre", func() bool { return x.all(x.nodesIn(0), crashed, StatusUnreachable) })
					local += time.Since(start)
					worstLocal = max(worstLocal, time.Since(start))
					x.within(time.Minute, "detected", func() bool { return x.all(x.order, crashed, StatusUnreachable) })
					all += time.Since(start)
					worstAll = max(worstAll, time.Since(start))
				}
				b.ReportMetric(first.Seconds()/float64(rounds), "s-first")
				b.ReportMetric(local.Seconds()/float64(rounds), "s-near-mean")
				b.ReportMetric(worstLocal.Seconds(), "s-near-worst")
				b.ReportMetric(all.Seconds()/float64(rounds), "s-far-mean")
				b.ReportMetric(worstAll.Seconds(), "s-far-worst")
			})
		})
	}
}

// BenchmarkSlopePartition measures the traffic per node when half of the cluster
// is partitioned from the other half, and when the partition heals after a
// minute: between data centres, and for comparison within a single one.
func BenchmarkSlopePartition(b *testing.B) {
	for _, size := range [][2]int{{2, 24}, {4, 24}, {8, 24}, {1, 48}, {1, 96}, {1, 192}} {
		b.Run(fmt.Sprintf("dcs=%d/nodes=%d", size[0], size[1]), func(b *testing.B) {
			inBenchmark(b, size[0], size[1], func(x *testCluster) {
				const window = 60 * time.Second
				atRest := x.measureBytes(window, func() {})
				one, other := x.order[:len(x.order)/2], x.order[len(x.order)/2:]
				partition := x.measureBytes(window, func() {
					x.network.Partition(one, other)
					start := time.Now()
					partitioned := func() bool { return x.all(one, other, StatusUnreachable) && x.all(other, one, StatusUnreachable) }
					x.within(window, "partitioned", partitioned)
					b.ReportMetric(time.Since(start).Seconds(), "s-parted")
				})
				heal := x.measureBytes(window, func() {
					x.network.HealAll()
					b.ReportMetric(x.within(window, "reunited", func() bool { return x.all(x.order, x.order, StatusAlive) }).Seconds(), "s-met")
				})
				b.ReportMetric(float64(partition-atRest)/float64(len(x.order)), "parting-B/node")
				b.ReportMetric(float64(heal-atRest)/float64(len(x.order)), "meeting-B/node")
			})
		})
	}
}

// measureBytes returns the bytes on the socket while f runs and until the window
// ends.
func (x *testCluster) measureBytes(window time.Duration, f func()) int {
	x.network.ResetCounts()
	start := time.Now()
	f()
	time.Sleep(window - time.Since(start))
	total := x.network.Total("")
	return total.Bytes + linkOverheadBytes*total.Messages
}

// BenchmarkSlopeMemory measures the memory that a node holds per peer.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, peers := range []int{48, 336, 1008} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			var bytes float64
			for range b.N {
				before := heapInUse()
				s := New(Options{Transport: disconnectedTransport{memberOf(dcID(0), 0, 1)}})
				s.applyPull(newTables(peers), false)
				bytes = float64(heapInUse()-before) / float64(peers)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(bytes, "B/peer")
		})
	}
}

// newTables returns the tables of a cluster of the given number of nodes, with
// newly allocated strings.
func newTables(peers int) pullReply {
	const size = 48
	var reply pullReply
	for d := range peers / size {
		each := dataCentreTable{DataCentre: dcID(d)}
		for i := range size {
			each.Records = append(each.Records, newRecord(memberOf(dcID(d), i, 1), 0, intentServing))
		}
		reply.Tables = append(reply.Tables, each)
	}
	return reply
}

// BenchmarkCurrent measures looking up a peer in a snapshot, as each request
// does.
func BenchmarkCurrent(b *testing.B) {
	s := New(Options{Transport: disconnectedTransport{memberOf(dcID(0), 0, 1)}})
	s.applyPull(newTables(1008), false)
	b.ReportAllocs()
	for range b.N {
		if _, ok := s.Current().Peer("dc07-20"); !ok {
			b.Fatal("not found")
		}
	}
}

// BenchmarkChange measures merging and publishing one change.
func BenchmarkChange(b *testing.B) {
	for _, peers := range []int{48, 336, 1008} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			s := New(Options{Transport: disconnectedTransport{memberOf(dcID(0), 0, 1)}})
			s.applyPull(newTables(peers), false)
			m := memberOf(dcID(0), 1, 1)
			for i := range b.N {
				s.applyPayload(m, gossipPayload{Version: uint64(i), Intent: intent(i % 2)})
			}
		})
	}
}

// inBenchmark runs f once, in virtual time, with a settled cluster.
func inBenchmark(b *testing.B, dcs, size int, f func(x *testCluster)) {
	b.Helper()
	match := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(match, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := newTestCluster(t, nil)
			defer x.close()
			x.startAll(dcs, size)
			x.awaitSettled()
			x.within(20*time.Minute, "without pending changes", x.noPendingChanges)
			f(x)
		})
	}}})
	assert.Assert(b, ok)
}

// countPairs returns a function that returns the number of node pairs that have
// used the method since.
func (x *testCluster) countPairs(method peer.Method) func() int {
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

// noPendingChanges reports whether no node has changes left to disseminate.
func (x *testCluster) noPendingChanges() bool {
	for _, n := range x.nodes {
		if n.State().Pending > 0 {
			return false
		}
	}
	return true
}

// reportTraffic reports the traffic per node and second.
func (x *testCluster) reportTraffic(b *testing.B, prefix string) {
	total := x.network.Total("")
	perNode := float64(len(x.order)) * slopeDuration.Seconds()
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
	b.ReportMetric(float64(busiest)/slopeDuration.Seconds(), prefix+"busiest-sent-B/s")
}

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
