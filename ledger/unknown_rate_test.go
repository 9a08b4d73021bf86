package ledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// unknownCount counts answers, and those with an unknown outcome.
type unknownCount struct{ answers, unknown int }

func (t unknownCount) percent() float64 {
	if t.answers == 0 {
		return 0
	}
	return 100 * float64(t.unknown) / float64(t.answers)
}

// loadProbe sends new keys and retries of dispatched ones through every running node,
// and counts the answers.
type loadProbe struct {
	*cluster
	random     *rand.Rand
	serial     int
	dispatched []domain.RequestKey
}

// keysPerPhase is the number of new keys sent to a node in one phase.
const keysPerPhase = 30

func (p *loadProbe) phase(entries []domain.NodeID) (fresh, retried unknownCount) {
	old := p.dispatched
	var calls sync.WaitGroup
	for range keysPerPhase {
		for _, id := range entries {
			p.serial++
			n, k := p.nodes[id], key(-p.serial)
			calls.Go(func() { p.send(n, k, &fresh) })
			if len(old) > 0 {
				retry := old[p.random.IntN(len(old))]
				calls.Go(func() { p.send(n, retry, &retried) })
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	calls.Wait()
	return fresh, retried
}

// send sends a key and counts the answer.
func (p *loadProbe) send(n *testNode, k domain.RequestKey, t *unknownCount) {
	claim, err := n.dispatch(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.answers++
	switch {
	case errors.Is(err, ErrUnknown):
		t.unknown++
	case err == nil && claim.Verdict == VerdictGranted:
		p.dispatched = append(p.dispatched, k)
	}
}

// detectionDelay is the time from a fault until the table shows it.
const detectionDelay = 10 * time.Second

// faultCase is a fault, with the change by which the table shows it.
type faultCase struct {
	name        string
	entries     []int
	fault       func(*cluster)
	updateTable func(*cluster)
	// Upper bounds on the percentage of new keys answered unknown: until the table
	// shows the fault, just after, and once the loss window has passed.
	during, after, later float64
}

func faultCases() []faultCase {
	h := nodeName
	nothing := func(*cluster) {}
	both := func(c *cluster) { c.crash(h(0)); c.crash(h(1)) }
	return []faultCase{
		{"graceful restart", []int{1, 2, 3, 4, 5, 6}, func(c *cluster) { c.leave(h(0)) }, func(c *cluster) { c.start(h(0), testDataCentre) }, 0, 0, 0},
		{"one crash", []int{1, 2, 3, 4, 5, 6}, func(c *cluster) { c.crash(h(0)) }, func(c *cluster) { c.remove(h(0)) }, 20, 0, 0},
		{"one crash while the store is down", []int{1, 2, 3, 4, 5, 6}, func(c *cluster) { c.crash(h(0)); c.store.SetDown(true) },
			func(c *cluster) { time.Sleep(time.Minute); c.store.SetDown(false); c.remove(h(0)) }, 20, 0, 0},
		{"two crashes, the first settled", []int{2, 3, 4, 5, 6}, func(c *cluster) { c.crash(h(0)); c.remove(h(0)); c.waitSettled(); c.crash(h(1)) },
			func(c *cluster) { c.remove(h(1)) }, 25, 0, 0},
		{"two crashes at once", []int{2, 3, 4, 5, 6}, both, func(c *cluster) { c.remove(h(0)); c.remove(h(1)) }, 40, 40, 0},
		{"partition of the data centre, majority side", []int{3, 4, 5, 6}, func(c *cluster) { c.isolate(h(0), h(1), h(2)) }, nothing, 50, 50, 50},
		{"partition of the data centre, minority side", []int{0, 1, 2}, func(c *cluster) { c.isolate(h(0), h(1), h(2)) }, nothing, 70, 70, 100},
		{"partition from other data centres, local", []int{0, 1, 2, 3, 4, 5, 6}, func(c *cluster) { c.start("far", "catania"); c.isolate("far") }, nothing, 0, 0, 0},
	}
}

// TestUnknownOutcomeRate measures, for seven nodes, the percentage of requests that a
// fault causes to be answered unknown. go test -v prints the table.
func TestUnknownOutcomeRate(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-44s %17s %17s %17s\n", "fault (new / retried keys, % unknown)", "table unchanged", "after change", "after window")
	for _, test := range faultCases() {
		inCluster(t, 7, func(t *testing.T, c *cluster) { measureUnknownRate(t, c, test, &table) })
	}
	t.Log("\n" + table.String())
}

func measureUnknownRate(t *testing.T, c *cluster, test faultCase, table *strings.Builder) {
	p := &loadProbe{cluster: c, random: rand.New(rand.NewPCG(1, 2))}
	var entries []domain.NodeID
	for _, i := range test.entries {
		entries = append(entries, nodeName(i))
	}
	_, _ = p.phase(entries)
	test.fault(c)
	during, duringRetried := p.phase(entries)
	time.Sleep(detectionDelay)
	test.updateTable(c)
	c.waitSettled()
	after, afterRetried := p.phase(entries)
	time.Sleep(DefaultRetention + 2*DefaultFenceTimeout)
	later, laterRetried := p.phase(entries)
	cell := func(fresh, retried unknownCount) string {
		return fmt.Sprintf("%.1f / %.1f", fresh.percent(), retried.percent())
	}
	fmt.Fprintf(table, "%-44s %17s %17s %17s\n", test.name, cell(during, duringRetried), cell(after, afterRetried), cell(later, laterRetried))
	for i, share := range []unknownCount{during, after, later} {
		bound := []float64{test.during, test.after, test.later}[i]
		assert.Assert(t, share.percent() <= bound, "%s, phase %d: %.1f%% unknown", test.name, i, share.percent())
	}
}
