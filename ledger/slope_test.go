package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// newBenchCluster starts a data centre in real time and waits until it is settled.
func newBenchCluster(b *testing.B, size int) *cluster {
	c := &cluster{}
	c.setUp(b)
	for i := range size {
		c.start(nodeName(i), testDataCentre)
	}
	c.awaitSettled()
	return c
}

// awaitSettled polls until the table in force is settled and all nodes have seen it.
func (c *cluster) awaitSettled() {
	for {
		t := c.latest()
		settled := t.Settled() >= t.Epoch
		for _, n := range c.nodes {
			n.mu.Lock()
			settled = settled && (n.crashed.Load() || n.recovery != nil && n.recovery.reported && n.recovery.epoch == t.Epoch)
			n.mu.Unlock()
		}
		if settled {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// fill dispatches and finishes requests.
func (c *cluster) fill(b *testing.B, records, nodes int) {
	for i := range records {
		n := c.nodes[nodeName(i%nodes)]
		claim, err := n.Claim(context.Background(), key(i), Fingerprint{1})
		assert.NilError(b, err)
		assert.NilError(b, n.Commit(context.Background(), claim, "runner-1"))
		assert.NilError(b, n.Finish(context.Background(), claim, true))
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSlopeRecordMemory measures the memory per finished record.
func BenchmarkSlopeRecordMemory(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var perRecord float64
			for b.Loop() {
				before := heapBytes()
				now := time.Now()
				k := newRecordSet(now, DefaultRetention)
				for i := range records {
					rec := record{claim: ClaimID(i), holder: k.members.intern(domain.Member{Node: nodeName(i % 48)}), endpoint: k.endpoints.intern("runner-1")}
					k.set(hashKey(key(i)), rec, StateFinished, now)
				}
				perRecord = (heapBytes() - before) / float64(records)
				runtime.KeepAlive(k)
			}
			b.ReportMetric(perRecord, "B/record")
		})
	}
}

// BenchmarkSlopeDecision measures one claim, commit and finish at the home, without
// messages, by the number of records already held.
func BenchmarkSlopeDecision(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			r, err := New(Options{Transport: benchTransport(), Tables: noTables{}, MaxRecords: 1 << 30})
			assert.NilError(b, err)
			ctx := context.Background()
			own := func(i int) domain.RequestKey {
				k := key(i)
				k.Scope = domain.Scope{Kind: domain.ScopeNode, Node: r.self.Node, Incarnation: r.self.Incarnation}
				return k
			}
			for i := range records {
				_, err := r.Claim(ctx, own(-i-1), Fingerprint{1})
				assert.NilError(b, err)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				claim, _ := r.Claim(ctx, own(i), Fingerprint{1})
				_ = r.Commit(ctx, claim, "runner-1")
				_ = r.Finish(ctx, claim, true)
				i++
			}
		})
	}
}

// noTables is a Tables without any table.
type noTables struct{}

func (noTables) Table(domain.DataCentre) *Table                    { return nil }
func (noTables) Subscribe(func(domain.DataCentre)) (cancel func()) { return func() {} }

func benchTransport() *peertest.Node {
	return peertest.NewNetwork().Node(domain.Member{Node: "host-00", Incarnation: 1, DataCentre: testDataCentre})
}

// BenchmarkSlopeRequest measures the messages and bytes, both ways, and the time on an
// in-memory link of one request from claim to finish, over all entry nodes.
func BenchmarkSlopeRequest(b *testing.B) {
	for _, nodes := range []int{7, 14, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			c := newBenchCluster(b, nodes)
			defer c.close()
			c.network.ResetCounts()
			i := 0
			for b.Loop() {
				n := c.nodes[nodeName(i%nodes)]
				claim, err := n.Claim(context.Background(), key(i), Fingerprint{1})
				assert.NilError(b, err)
				assert.NilError(b, n.Commit(context.Background(), claim, "runner-1"))
				assert.NilError(b, n.Finish(context.Background(), claim, true))
				i++
			}
			total := c.network.Total("")
			b.ReportMetric(float64(total.Messages)/float64(i), "msgs/request")
			b.ReportMetric(float64(total.Bytes)/float64(i), "B/request")
		})
	}
}

// BenchmarkSlopeRecovery measures the cost of losing one member, by the number of
// records and of members.
func BenchmarkSlopeRecovery(b *testing.B) {
	for _, size := range []struct{ records, nodes int }{{1_000, 7}, {4_000, 7}, {16_000, 7}, {4_000, 14}, {4_000, 28}} {
		b.Run(fmt.Sprintf("records=%d/nodes=%d", size.records, size.nodes), func(b *testing.B) {
			var messages, bytes float64
			for b.Loop() {
				b.StopTimer()
				c := newBenchCluster(b, size.nodes)
				c.fill(b, size.records, size.nodes)
				c.crash(nodeName(0))
				c.network.ResetCounts()
				b.StartTimer()
				c.remove(nodeName(0))
				c.awaitSettled()
				b.StopTimer()
				total := c.network.Total("")
				messages, bytes = float64(total.Messages), float64(total.Bytes)
				c.close()
				b.StartTimer()
			}
			b.ReportMetric(messages, "msgs/loss")
			b.ReportMetric(bytes, "B/loss")
			b.ReportMetric(bytes/float64(size.nodes-1), "B/loss/member")
		})
	}
}

// BenchmarkSlopeRest measures one round of confirm calls between the members, of which
// there are two per FenceTimeout.
func BenchmarkSlopeRest(b *testing.B) {
	for _, nodes := range []int{7, 14, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			c := newBenchCluster(b, nodes)
			defer c.close()
			c.network.ResetCounts()
			rounds := 0
			for b.Loop() {
				n := c.nodes[nodeName(rounds%nodes)]
				n.mu.Lock()
				clear(n.lastConfirmed)
				n.mu.Unlock()
				n.confirmAll(context.Background())
				rounds++
			}
			total := c.network.Total("")
			b.ReportMetric(float64(total.Messages)/float64(rounds), "msgs/round")
			b.ReportMetric(float64(total.Bytes)/float64(rounds), "B/round")
		})
	}
}
