package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// fleet is a number of trackers that exchange reports in memory, with endpoints and callers. It must be made in a synctest bubble.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	ctx    context.Context
	stop   context.CancelFunc
	calls  sync.WaitGroup

	mu        sync.Mutex
	nodes     []*fleetNode
	endpoints []*fleetEndpoint
	// causes are the parts that end endpoints, after so many events.
	causes     map[uint64]bool
	causeAfter int
	// ends are the times at which each cause ended an endpoint, arrivals those at which a request with it reached one.
	ends     map[uint64][]time.Time
	arrivals map[uint64][]time.Time
	// sound counts the requests without a cause, refused those of them that were refused.
	sound, refused int
	// bytes counts those that the trackers add to reports.
	bytes   int
	reports int
}

type fleetNode struct {
	tracker *Tracker
	stop    context.CancelFunc
	// cut is true while the node exchanges no reports.
	cut bool
	// lost is true while it reaches no endpoint.
	lost bool
}

// fleetEndpoint is an endpoint; it comes back under another id.
type fleetEndpoint struct {
	id    string
	ended chan struct{}
	down  bool
}

const (
	fleetScope  = "o"
	reportEvery = 120 * time.Millisecond
)

func newFleet(t *testing.T, seed uint64, nodes, endpoints int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), causes: make(map[uint64]bool), ends: make(map[uint64][]time.Time),
		arrivals: make(map[uint64][]time.Time),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &fleetEndpoint{id: fmt.Sprint("e", i, "-0"), ended: make(chan struct{})})
	}
	for range nodes {
		f.nodes = append(f.nodes, f.startNode())
	}
	f.calls.Go(f.exchange)
	t.Cleanup(f.close)
	return f
}

// close ends all requests and nodes, unless they have ended.
func (f *fleet) close() {
	f.stop()
	f.calls.Wait()
}

func (f *fleet) startNode() *fleetNode {
	n := &fleetNode{}
	n.tracker = New(Config{
		Probe: func(_ context.Context, address string) error { return f.probe(n, address) }, Endpoints: func(string) int { return len(f.endpoints) },
		Lost: func(string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return n.lost
		}, AllHeard: f.allHeard, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	f.calls.Go(func() { _ = n.tracker.Run(ctx) })
	return n
}

// restart replaces a node's process by one that knows nothing.
func (f *fleet) restart(i int) {
	next := f.startNode()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i].stop()
	f.nodes[i] = next
}

func (f *fleet) probe(n *fleetNode, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.lost {
		return ErrEnded
	}
	for _, e := range f.endpoints {
		if e.id == address && !e.down {
			return nil
		}
	}
	return ErrEnded
}

// exchange has all nodes send each other reports.
func (f *fleet) exchange() {
	digests := make(map[*fleetNode]uint64)
	for f.sleep(reportEvery) {
		f.mu.Lock()
		nodes := append([]*fleetNode(nil), f.nodes...)
		f.mu.Unlock()
		for _, from := range nodes {
			if f.isCut(from) {
				continue
			}
			var report gossip.Report
			from.tracker.FillReport(&report)
			digests[from] = report.PartsDigest
			parts := report.CrashParts
			for _, to := range nodes {
				if to == from || f.isCut(to) {
					continue
				}
				report.CrashParts = nil
				if digests[to] != report.PartsDigest {
					report.CrashParts = parts
				}
				f.count(&report)
				to.tracker.ApplyReport(&report)
			}
		}
	}
}

func (f *fleet) allHeard() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.cut })
}

func (f *fleet) isCut(n *fleetNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.cut
}

// count counts the bytes that the tracker's fields add to a report.
func (f *fleet) count(report *gossip.Report) {
	if len(report.EndedAnswers)+len(report.SoundParts)+len(report.Alive)+len(report.CrashParts) == 0 && report.PartsDigest == 0 {
		f.reports++
		return
	}
	data, err := cbor.Marshal([]any{report.EndedAnswers, report.SoundParts, report.Alive, report.CrashParts, report.PartsDigest})
	assert.NilError(f.t, err)
	f.bytes += len(data)
	f.reports++
}

// sleep returns false once the fleet ends.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// cause makes the part end endpoints.
func (f *fleet) cause(part uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.causes[part] = true
}

func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// send sends requests with prompts of the function at the rate, to any node, until the fleet ends.
func (f *fleet) send(perSecond float64, prompt func(random *rand.Rand) []uint64) {
	f.calls.Go(func() {
		for f.sleep(time.Duration((0.5 + float64(f.draw(1000))/1000) / perSecond * float64(time.Second))) {
			f.mu.Lock()
			p, n, id := prompt(f.random), f.nodes[f.random.IntN(len(f.nodes))], f.random.Uint64()
			f.mu.Unlock()
			f.calls.Go(func() { f.request(n, fmt.Sprint(id), p) })
		}
	})
}

const maxAttempts = 2

// request is a request at a node with up to maxAttempts attempts.
func (f *fleet) request(n *fleetNode, id string, prompt []uint64) {
	scope := Scope{Organisation: fleetScope, Service: "s"}
	cause := f.causeOf(prompt)
	if cause == 0 {
		f.mu.Lock()
		f.sound++
		f.mu.Unlock()
	}
	request := Request{Scope: scope, Prompt: prompt, Content: hashOf(id)}
	n.tracker.Observe(request)
	for range maxAttempts {
		e := f.pick(n)
		if n.tracker.Refuses(request) {
			if cause == 0 {
				f.mu.Lock()
				f.refused++
				f.mu.Unlock()
			}
			return
		}
		if e == nil {
			return
		}
		if cause != 0 {
			f.mu.Lock()
			f.arrivals[cause] = append(f.arrivals[cause], time.Now())
			f.mu.Unlock()
		}
		started := time.Now()
		if events, whole := f.run(n, e, cause); !whole {
			n.tracker.Broke(Break{Request: request, ID: id, Events: events, Endpoint: domain.EndpointID(e.id), Address: e.id, StartedAt: started})
			continue
		}
		n.tracker.Answered(domain.EndpointID(e.id), started)
		n.tracker.Sound(request)
		return
	}
}

// causeOf returns the prompt's part that ends endpoints, 0 if there is none.
func (f *fleet) causeOf(prompt []uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range prompt[:len(prompt)-1] {
		if f.causes[part] {
			return part
		}
	}
	return 0
}

// pick returns an endpoint that is up, nil if the node finds none.
func (f *fleet) pick(n *fleetNode) *fleetEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 20 {
		if e := f.endpoints[f.random.IntN(len(f.endpoints))]; !e.down {
			return e
		}
	}
	return nil
}

// run runs a request at an endpoint. It returns the number of events that came, and whether all did.
func (f *fleet) run(n *fleetNode, e *fleetEndpoint, cause uint64) (events int, whole bool) {
	const eventTime, answerEvents = 25 * time.Millisecond, 40
	wait := time.Duration(20+f.draw(300)) * time.Millisecond
	for ; events < answerEvents; events++ {
		if events == f.causeAfter && cause != 0 {
			f.end(e, cause)
		}
		select {
		case <-e.ended:
			return events, false
		case <-f.ctx.Done():
			return events, true
		case <-time.After(wait):
		}
		f.mu.Lock()
		lost := n.lost
		f.mu.Unlock()
		if lost {
			return events, false
		}
		wait = eventTime
	}
	return events, true
}

// end ends an endpoint, by the cause unless that is 0. It comes back seconds later.
func (f *fleet) end(e *fleetEndpoint, cause uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	close(e.ended)
	if cause != 0 {
		f.ends[cause] = append(f.ends[cause], time.Now())
	}
	back := time.Duration(2000+f.random.IntN(2000)) * time.Millisecond
	f.calls.Go(func() {
		f.sleep(back)
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, o := range f.endpoints {
			if o == e {
				f.endpoints[i] = &fleetEndpoint{id: e.id + "'", ended: make(chan struct{})}
			}
		}
	})
}

// late returns the number of requests with the cause that reached endpoints later than three seconds after the fifth end.
func (f *fleet) late(cause uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ends[cause]) < 5 {
		return 0
	}
	known := f.ends[cause][4].Add(3 * time.Second)
	late := 0
	for _, at := range f.arrivals[cause] {
		if at.After(known) {
			late++
		}
	}
	return late
}

// identified returns the number of identifications in force at each node.
func (f *fleet) identified() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts []int
	for _, n := range f.nodes {
		counts = append(counts, n.tracker.verdicts.Load().inForce())
	}
	return counts
}

// parts returns the parts that nodes have identified.
func (f *fleet) parts() [][]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var parts [][]uint64
	for _, n := range f.nodes {
		for _, v := range *n.tracker.verdicts.Load() {
			parts = append(parts, v.parts)
		}
	}
	return parts
}

// soundPrompt draws a prompt with parts shared by all requests, by many and by a few, and one of its own.
func soundPrompt(random *rand.Rand) []uint64 {
	prompt := []uint64{1000, 2000 + random.Uint64N(6)}
	if random.IntN(2) == 0 {
		prompt = append(prompt, 3000+random.Uint64N(400))
	}
	return append(prompt, random.Uint64())
}

// with returns prompts that have the part somewhere after the first.
func with(part uint64) func(*rand.Rand) []uint64 {
	return func(random *rand.Rand) []uint64 {
		prompt := soundPrompt(random)
		at := 1 + random.IntN(len(prompt)-1)
		return append(prompt[:at:at], append([]uint64{part}, prompt[at:]...)...)
	}
}
