package poison

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

var (
	seedsFlag = flag.Uint64("poison.seeds", 2, "number of seeds of the tests with drawn faults")
	allFlag   = flag.Bool("poison.all", false, "test all rates with seven and thirty nodes")
)

const cause = 77

// run runs a scenario in virtual time.
func run(t *testing.T, seed uint64, nodes, endpoints int, scenario func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, nodes, endpoints)
		scenario(f)
		f.close()
	})
}

// callers sends sound requests as a fleet of the size gets them.
func (f *fleet) callers() { f.send(float64(16*len(f.nodes)), soundPrompt) }

// Guards against a part that ends endpoint after endpoint, whatever the rate of such requests, how far their answers get, and the size of
// the fleet; and against sound requests that share the other parts being refused for it.
func TestCauseIsIdentified(t *testing.T) {
	for _, nodes := range []int{1, 7, 30} {
		for i, perSecond := range []float64{0.5, 4, 10} {
			for j, after := range []int{0, 1, 3} {
				if !*allFlag && nodes > 1 && (nodes > 7 || i != j) {
					continue
				}
				t.Run(fmt.Sprint(nodes, " nodes, ", perSecond, " a second, after ", after, " events"), func(t *testing.T) {
					run(t, 1, nodes, max(12*nodes/7, 6), func(f *fleet) {
						f.causeAfter = after
						f.callers()
						time.Sleep(5 * time.Second)
						f.cause(cause)
						f.send(perSecond, with(cause))
						time.Sleep(20 * time.Second)
						f.close()
						t.Logf("%d ends, %d of %d sound requests refused, %.0f bytes a report", len(f.ends[cause]), f.refused, f.sound,
							float64(f.bytes)/float64(f.reports))
						assert.Assert(t, f.late(cause) == 0, "%d late", f.late(cause))
						assert.Assert(t, len(f.ends[cause]) >= 3)
						assert.Equal(t, f.refused, 0, "%v", f.parts())
					})
				})
			}
		}
	}
}

// Guards against two causes hiding each other: each of them raises the rate of ends that the other has no part in.
func TestTwoCausesAreIdentified(t *testing.T) {
	for seed := range *seedsFlag {
		run(t, seed, 7, 12, func(f *fleet) {
			f.callers()
			time.Sleep(5 * time.Second)
			f.cause(cause)
			f.cause(cause + 1)
			f.send(3, with(cause))
			f.send(3, with(cause+1))
			time.Sleep(20 * time.Second)
			f.close()
			assert.Assert(t, f.late(cause) <= 3 && f.late(cause+1) <= 3, "%d and %d late, %d and %d ends", f.late(cause), f.late(cause+1), len(f.ends[cause]),
				len(f.ends[cause+1]))
			assert.Equal(t, f.refused, 0, "%v", f.parts())
		})
	}
}

// Guards against crashes by other causes being taken for evidence: single ones, half of the endpoints at once, and one after the other.
func TestCrashesByOtherCausesIdentifyNothing(t *testing.T) {
	for seed := range *seedsFlag {
		run(t, seed, 7, 12, func(f *fleet) {
			f.callers()
			for range 20 {
				f.sleep(time.Duration(f.draw(3000)) * time.Millisecond)
				n, gap := 1+f.draw(6), time.Duration(f.draw(3))*150*time.Millisecond
				for i := range n {
					f.mu.Lock()
					e := f.endpoints[(i+len(f.ends))%len(f.endpoints)]
					f.mu.Unlock()
					f.end(e, 0)
					f.sleep(gap)
				}
			}
			f.close()
			assert.Equal(t, f.refused, 0, "of %d: %v", f.sound, f.parts())
			assert.Equal(t, slices.Max(f.identified()), 0)
		})
	}
}

// Guards against a cause that is not found among crashes by other causes.
func TestCauseIsIdentifiedAmongCrashes(t *testing.T) {
	for seed := range *seedsFlag {
		run(t, seed, 7, 12, func(f *fleet) {
			f.callers()
			time.Sleep(5 * time.Second)
			f.cause(cause)
			f.send(4, with(cause))
			for range 10 {
				f.sleep(time.Duration(1000+f.draw(2000)) * time.Millisecond)
				f.mu.Lock()
				e := f.endpoints[f.random.IntN(len(f.endpoints))]
				f.mu.Unlock()
				f.end(e, 0)
			}
			f.close()
			assert.Assert(t, f.late(cause) <= 3, "%d late, %d ends", f.late(cause), len(f.ends[cause]))
			assert.Equal(t, f.refused, 0, "%v", f.parts())
		})
	}
}

// Guards against a cut of a node from all endpoints, or from the other nodes, being taken for ends of endpoints.
func TestCutsIdentifyNothing(t *testing.T) {
	for seed := range *seedsFlag {
		run(t, seed, 7, 12, func(f *fleet) {
			f.callers()
			for range 5 {
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				f.nodes[1].lost, f.nodes[1].cut = true, f.random.IntN(2) == 0
				f.mu.Unlock()
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				f.nodes[1].lost, f.nodes[1].cut = false, false
				f.mu.Unlock()
			}
			f.close()
			assert.Equal(t, f.refused, 0, "%v", f.parts())
		})
	}
}

// Guards against what is known staying with the nodes that saw the ends: a new process and a node back from a cut need it too.
func TestIdentificationReachesNewNodesAndThoseThatWereCutOff(t *testing.T) {
	run(t, 1, 7, 12, func(f *fleet) {
		f.callers()
		f.mu.Lock()
		f.nodes[2].cut = true
		f.mu.Unlock()
		f.cause(cause)
		f.send(4, with(cause))
		time.Sleep(time.Minute)
		assert.Equal(t, slices.Max(f.identified()), 1, "%v", f.parts())
		f.restart(0)
		f.mu.Lock()
		f.nodes[2].cut = false
		f.mu.Unlock()
		time.Sleep(4 * reportEvery)
		assert.DeepEqual(t, f.identified(), []int{1, 1, 1, 1, 1, 1, 1})
	})
}

// newTracker returns a tracker whose probes return the error.
func newTracker(probe error) *Tracker {
	return New(Config{
		Probe: func(context.Context, string) error { return probe }, Endpoints: func(string) int { return 12 }, Lost: func(string) bool { return false },
		AllHeard: func() bool { return true }, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
}

var testScope = Scope{Organisation: "o", Service: "s", Model: "m"}

// breakOff records that requests of the scope with the prompt broke off at as many endpoints.
func breakOff(tracker *Tracker, scope Scope, n int, prompt ...uint64) {
	for range n {
		id := rand.Uint64()
		tracker.Broke(Break{
			Request: Request{Scope: scope, Prompt: prompt}, ID: fmt.Sprint(id), Endpoint: domain.EndpointID(fmt.Sprint(id)), StartedAt: time.Now().Add(-time.Millisecond),
		})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// withTracker runs a test with a tracker in virtual time.
func withTracker(t *testing.T, probe error, test func(tracker *Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		tracker := newTracker(probe)
		done := make(chan error, 1)
		go func() { done <- tracker.Run(ctx) }()
		time.Sleep(warmUp)
		defer func() {
			stop()
			assert.Check(t, errors.Is(<-done, context.Canceled))
		}()
		test(tracker)
	})
}

func TestEvidenceHoldsForOneScope(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		breakOff(tracker, testScope, 3, cause, 5)
		assert.Assert(t, tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{1, cause, 6}}), "another prompt with the part")
		assert.Assert(t, !tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{1, cause}}), "the last part is the request's own")
		for _, other := range []Scope{
			{Organisation: "other", Service: "s", Model: "m"}, {Organisation: "o", Service: "other", Model: "m"}, {Organisation: "o", Service: "s", Model: "other"},
		} {
			assert.Assert(t, !tracker.Refuses(Request{Scope: other, Prompt: []uint64{1, cause, 6}}), "%v", other)
		}
	})
}

func TestAnswerThatGetsFarClears(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		breakOff(tracker, testScope, 2, cause, 5)
		tracker.Sound(Request{Scope: testScope, Prompt: []uint64{cause, 9}})
		breakOff(tracker, testScope, 2, cause, 5)
		assert.Assert(t, !tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}), "two ends since it was cleared")
		breakOff(tracker, testScope, minEndsIfProven, cause, 5)
		assert.Assert(t, tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}), "a part that was cleared may end endpoints later")
		tracker.Sound(Request{Scope: testScope, Prompt: []uint64{cause, 9}})
		assert.Assert(t, !tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}), "an answer that was under way")
	})
}

func TestAnswersBrokenOffByEndpointsThatLiveAreNoEvidence(t *testing.T) {
	for name, probe := range map[string]error{"accepts": nil, "the link is silent": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			withTracker(t, probe, func(tracker *Tracker) {
				breakOff(tracker, testScope, 10, cause, 5)
				assert.Assert(t, !tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}))
			})
		})
	}
}

// Guards against a request being left out whose answer is noticed to have broken off after the endpoint was found to have ended: it may be the cause.
func TestAnswerNoticedAfterTheEndIsEvidence(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		for i := range 3 {
			e := domain.EndpointID(fmt.Sprint("e", i))
			for _, part := range []uint64{uint64(100 + i), cause} {
				tracker.Broke(Break{
					Request: Request{Scope: testScope, Prompt: []uint64{part, 5}}, ID: fmt.Sprint("r", i, part), Endpoint: e,
					StartedAt: time.Now().Add(-time.Millisecond),
				})
				time.Sleep(time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Assert(t, tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}))
	})
}

// Guards against an endpoint that is back before it is probed hiding its end.
func TestAnotherIncarnationShowsThatAnEndpointHasEnded(t *testing.T) {
	withTracker(t, nil, func(tracker *Tracker) {
		for i := range 3 {
			e := domain.EndpointID(fmt.Sprint("e", i))
			tracker.Broke(Break{Request: Request{Scope: testScope, Prompt: []uint64{cause, 5}}, ID: fmt.Sprint("r", i), Endpoint: e, StartedAt: time.Now().Add(-time.Millisecond)})
			time.Sleep(200 * time.Millisecond)
			tracker.Replaced(e)
		}
		time.Sleep(time.Second)
		assert.Assert(t, tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}))
	})
}

// Guards against one node's lost links being taken for ends: another node hears from the endpoints.
func TestAnswerToAnotherNodeRefutesAnEnd(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		other := newTracker(ErrEnded)
		for i := range 6 {
			e := domain.EndpointID(fmt.Sprint("e", i))
			tracker.Broke(Break{Request: Request{Scope: testScope, Prompt: []uint64{cause, 5}}, ID: fmt.Sprint("r", i), Endpoint: e, StartedAt: time.Now().Add(-time.Millisecond)})
			time.Sleep(10 * time.Millisecond)
			exchange(tracker, other)
			time.Sleep(clockMargin + 10*time.Millisecond)
			other.Answered(e, time.Now())
			exchange(other, tracker)
		}
		time.Sleep(time.Second)
		assert.Assert(t, !tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}))
		assert.Equal(t, other.tracked.Load(), int64(0))
	})
}

// exchange sends a report from one tracker to another.
func exchange(from, to *Tracker) {
	var report gossip.Report
	from.FillReport(&report)
	to.ApplyReport(&report)
}

// Guards against identifications that lapse while requests that they refuse still come.
func TestIdentificationLastsWhileRequestsCome(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		breakOff(tracker, testScope, 3, cause, 5)
		for range 100 {
			assert.Assert(t, tracker.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}))
			time.Sleep(retention / 2)
		}
		time.Sleep(retention)
		other := newTracker(ErrEnded)
		exchange(tracker, other)
		assert.Assert(t, !other.Refuses(Request{Scope: testScope, Prompt: []uint64{cause, 6}}), "nobody has sent such a request for long")
	})
}

func TestWatchedRequestsEndOnceTheirPromptIsRefused(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		var mu sync.Mutex
		ended := make(map[string]int)
		watch := func(name string, prompt ...uint64) (stop func()) {
			return tracker.Watch(Request{Scope: testScope, Prompt: prompt}, func() {
				mu.Lock()
				defer mu.Unlock()
				ended[name]++
			})
		}
		defer watch("with the part", 1, cause, 5)()
		defer watch("without", 1, 2, 5)()
		watch("over", 1, cause, 5)()
		breakOff(tracker, testScope, 3, cause, 5)
		defer watch("later", cause, 7)()
		mu.Lock()
		defer mu.Unlock()
		assert.DeepEqual(t, ended, map[string]int{"with the part": 1, "later": 1})
	})
}

// Guards against a whole content that ends each endpoint that runs it and is sent again, at other nodes: each of them sees only some of the ends.
func TestContentIsIdentifiedOverNodes(t *testing.T) {
	withTracker(t, ErrEnded, func(a *Tracker) {
		b := newTracker(ErrEnded)
		request := Request{Scope: testScope, Prompt: []uint64{1, 2, 3}, Content: 9}
		for i, tracker := range []*Tracker{a, b, a} {
			tracker.Broke(Break{
				Request: request, ID: fmt.Sprint(i), Endpoint: domain.EndpointID(fmt.Sprint(i)), StartedAt: time.Now().Add(-time.Millisecond),
			})
			time.Sleep(200 * time.Millisecond)
			exchange(b, a)
			assert.Assert(t, i == 2 || !a.Refuses(request), "two ends may occur by chance")
		}
		time.Sleep(time.Second)
		assert.Assert(t, a.Refuses(request))
		assert.Assert(t, !a.Refuses(Request{Scope: testScope, Prompt: []uint64{1, 2, 3}, Content: 8}), "another content with the same prompt")
		exchange(a, b)
		assert.Assert(t, b.Refuses(request))
		a.Sound(request)
		time.Sleep(time.Millisecond)
		exchange(a, b)
		assert.Assert(t, !b.Refuses(request), "an answer clears the content")
	})
}

// Guards against requests without a prompt being left out: those to plain services.
func TestContentWithoutPromptIsIdentified(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		request := Request{Scope: testScope, Content: 9}
		for i := range 3 {
			tracker.Broke(Break{
				Request: request, ID: fmt.Sprint(i), Endpoint: domain.EndpointID(fmt.Sprint(i)), StartedAt: time.Now().Add(-time.Millisecond),
			})
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Assert(t, tracker.Refuses(request))
		assert.Assert(t, !tracker.Refuses(Request{Scope: testScope, Content: 8}))
	})
}
