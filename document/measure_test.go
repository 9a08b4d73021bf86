package document

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/peer"
)

// measureAll adds the largest fleet, which takes one minute under the race detector.
var measureAll = flag.Bool("measure", false, "also measure a fleet of 200 nodes")

type fleetSize struct{ nodes, centres int }

// sizes returns the fleet sizes to measure.
func sizes() []fleetSize {
	all := []fleetSize{{7, 3}, {50, 5}, {200, 5}}
	if *measureAll {
		return all
	}
	return all[:2]
}

// inSizedBubble runs a test in a bubble with nodes spread over data centres, which
// use the store within their budget.
func inSizedBubble(t *testing.T, nodes, centres int, test func(t *testing.T, f *fleet)) {
	inBubble(t, centres, (nodes+centres-1)/centres, func(t *testing.T, f *fleet) {
		f.budgeted = true
		f.nodes = f.nodes[:nodes]
		test(t, f)
	})
}

// recorder records when each node applied each version.
type recorder struct {
	mu sync.Mutex
	at map[uint64][]time.Time
}

func (r *recorder) record(_ *testNode, version Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[version.Generation] = append(r.at[version.Generation], time.Now())
}

// sinceAccepted returns the sorted times from acceptance until each node applied the
// version.
func (r *recorder) sinceAccepted(generation uint64, accepted time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []time.Duration
	for _, at := range r.at[generation] {
		all = append(all, max(0, at.Sub(accepted)))
	}
	slices.Sort(all)
	return all
}

func (r *recorder) count(generation uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.at[generation])
}

// TestPropagationToAllNodes measures the time from acceptance until a version is in
// force on every node, and the load on the store, in virtual time. Links have the
// delays of linkDelay and a call to the store takes 2 ms.
func TestPropagationToAllNodes(t *testing.T) {
	const edits = 20
	for _, size := range sizes() {
		t.Run(fmt.Sprintf("%d nodes in %d data centres", size.nodes, size.centres), func(t *testing.T) {
			inSizedBubble(t, size.nodes, size.centres, func(t *testing.T, f *fleet) {
				r := &recorder{at: make(map[uint64][]time.Time)}
				f.applied = r.record
				f.start()
				f.nodes[0].mustUpdate(set(strings.Repeat("x", 2000)))
				time.Sleep(time.Minute)
				before, sent := f.store.Counts(), f.sentBytes()
				var all, worst []time.Duration
				for i := range edits {
					version := f.nodes[i*7%len(f.nodes)].mustUpdate(add("+"))
					accepted := time.Now()
					for time.Sleep(time.Second); r.count(version.Generation) < len(f.nodes); {
						time.Sleep(time.Second)
						assert.Assert(t, time.Since(accepted) < 20*time.Second)
					}
					took := r.sinceAccepted(version.Generation, accepted)
					all = append(all, took...)
					worst = append(worst, took[len(took)-1])
				}
				after := f.store.Counts()
				nodes := uint64(len(f.nodes))
				slices.Sort(all)
				t.Logf("acceptance to in force: median %s, maximum of %d edits %s; store, per edit: %.1f writes, %.1f reads, %.1f watches, %d B read; peers: %d B sent per node and edit",
					all[len(all)/2], edits, slices.Max(worst),
					float64(after.Writes-before.Writes)/edits, float64(after.Reads-before.Reads)/edits, float64(after.Watches-before.Watches)/edits,
					(after.BytesRead-before.BytesRead)/edits, uint64(f.sentBytes()-sent)/nodes/edits)
				idleStart, idleSent := f.store.Counts(), f.sentBytes()
				time.Sleep(10 * time.Minute)
				idleEnd := f.store.Counts()
				t.Logf("idle: store %.2f calls/s in total, %.1f B/s read; peers %.1f B/s sent per node",
					float64(idleEnd.Reads+idleEnd.Watches-idleStart.Reads-idleStart.Watches)/600, float64(idleEnd.BytesRead-idleStart.BytesRead)/600,
					float64(f.sentBytes()-idleSent)/600/float64(nodes))
			})
		})
	}
}

// sentBytes returns the payload bytes that the nodes have sent to each other.
func (f *fleet) sentBytes() int { return f.network.Total(peer.Method("")).Bytes }

// TestRecoveryAfterStoreOutage restarts every node during a store outage, one after
// another within ten minutes or all at once, and measures the time until all are ready.
func TestRecoveryAfterStoreOutage(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		for _, size := range sizes() {
			t.Run(fmt.Sprintf("%d nodes, at once %t", size.nodes, atOnce), func(t *testing.T) {
				inSizedBubble(t, size.nodes, size.centres, func(t *testing.T, f *fleet) {
					f.start()
					f.nodes[0].mustUpdate(set("one"))
					time.Sleep(time.Minute)
					f.store.SetDown(true)
					if atOnce {
						for _, n := range f.nodes {
							n.halt()
						}
						f.start()
					} else {
						for _, n := range f.nodes {
							n.halt()
							f.start(n)
							time.Sleep(500 * time.Second / time.Duration(len(f.nodes)))
						}
					}
					ready := f.awaitReady(100 * time.Second)
					assert.Equal(t, ready, !atOnce)
					f.store.SetDown(false)
					calls, end := f.store.Counts(), time.Now()
					peak := make(chan uint64, 1)
					go func() { peak <- f.storeCallsWithin(time.Second) }()
					assert.Assert(t, f.awaitReady(20*time.Second))
					took := time.Since(end)
					version := f.nodes[0].mustUpdate(set("two"))
					accepted := time.Since(end)
					for f.nodes[len(f.nodes)-1].condition().InForce.Generation < version.Generation {
						time.Sleep(10 * time.Millisecond)
					}
					after := f.store.Counts()
					t.Logf("all nodes ready %s after the outage, next edit in force after %s; %d store calls, %d in the first second",
						took.Round(time.Millisecond), accepted.Round(time.Millisecond),
						after.Reads+after.Watches+after.Writes-calls.Reads-calls.Watches-calls.Writes, <-peak)
				})
			})
		}
	}
}

// storeCallsWithin returns the number of store calls made during d.
func (f *fleet) storeCallsWithin(d time.Duration) uint64 {
	before := f.store.Counts()
	time.Sleep(d)
	after := f.store.Counts()
	return after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
}

// awaitReady waits up to atMost until all nodes are ready and reports whether they are.
func (f *fleet) awaitReady(atMost time.Duration) bool {
	for end := time.Now().Add(atMost); ; time.Sleep(10 * time.Millisecond) {
		ready := !slices.ContainsFunc(f.nodes, func(n *testNode) bool { return n.service.Ready() != nil })
		if ready || !time.Now().Before(end) {
			return ready
		}
	}
}
