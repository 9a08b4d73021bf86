package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// removalDelay is how long after its removal an endpoint may still get requests, arrivalMargin the time that a request may take
	// on its way there.
	removalDelay  = 2 * time.Second
	arrivalMargin = 250 * time.Millisecond
	// stableTime is how long after a trouble of its access to the store a node is held to what the store removed.
	stableTime = 3 * time.Second
	// relistTime is how long after an outage of the store expired entries are listed again at the latest.
	relistTime = 1500 * time.Millisecond
	// accessRounds is the number of rounds of a seed, accessInterval the time between their beginnings. Rounds overlap.
	accessRounds   = 4
	accessInterval = 4 * time.Second
	// accessTime is the time after the last round in which everything ends.
	accessTime = 7 * time.Second
	// longKeyAge lets nodes serve for longer without the store than the troubles last.
	longKeyAge = time.Minute
)

// accessTrouble is a time in which a node could not call the store.
type accessTrouble struct{ from, to time.Time }

// storeAccess records who could call the store when, and which endpoints left.
type storeAccess struct {
	// outage is held during an outage and until the store is stable again.
	outage sync.Mutex
	mu     sync.Mutex
	// troubles are those of each node, by name. outages are those of the store itself.
	troubles map[string][]accessTrouble
	outages  []accessTrouble
	// removed is when an endpoint's entry was removed for good.
	removed map[*platformtest.Endpoint]time.Time
}

// Guards against nodes that the store turns away using endpoints for seconds that were removed meanwhile or soon after, and against an
// outage of the store, in which entries expire, emptying a service.
func TestEndpointsLeaveWhileStoreTurnsNodesAway(t *testing.T) {
	for _, seed := range seedsToPlay([]int64{45003}) {
		newSoakWithKeyAge(t, seed, false, longKeyAge).leaveWhileTurnedAway()
	}
}

func (s *soak) leaveWhileTurnedAway() {
	s.waitReady()
	access := &storeAccess{troubles: make(map[string][]accessTrouble), removed: make(map[*platformtest.Endpoint]time.Time)}
	stop := make(chan struct{})
	var callers, rounds sync.WaitGroup
	for i := range *callersFlag {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		callers.Go(func() { s.callUntil(stop, random, func() *process { return s.nodes[random.IntN(len(s.nodes))] }) })
	}
	time.Sleep(stableTime)
	for round := range accessRounds {
		s.turnNodesAway(access, round, rounds.Go)
		time.Sleep(accessInterval)
	}
	rounds.Wait()
	time.Sleep(accessTime)
	close(stop)
	callers.Wait()
	s.checkRemovals(access)
	s.checkServedInOutages(access)
	s.check()
}

// turnNodesAway has the store turn some nodes away, endpoints leave around the end of that, and at times an outage of the store
// before, after or at the same time. Rounds take the one and the other part of the nodes in turn, so that each has a time without
// trouble after it.
func (s *soak) turnNodesAway(access *storeAccess, round int, run func(func())) {
	how := platformtest.Refusal(s.random.IntN(int(platformtest.Refusals)))
	if s.random.IntN(2) == 0 {
		how = platformtest.RefuseBusy // the only one that asks for a rest
	}
	lasts := 1500*time.Millisecond + time.Duration(s.random.IntN(2500))*time.Millisecond
	all := s.random.IntN(2) == 0
	for node := range s.nodes {
		if node%2 == round%2 && (all || s.random.IntN(2) == 0) {
			run(func() { s.turnAway(access, node, how, lasts) })
		}
	}
	for range 2 {
		draining, choice := s.random.IntN(3) == 0, s.random.Uint64()
		leaves := max(0, lasts-time.Second+time.Duration(s.random.IntN(2500))*time.Millisecond)
		run(func() {
			time.Sleep(leaves)
			s.leave(access, choice, draining)
		})
	}
	if s.random.IntN(3) > 0 {
		return
	}
	begins := time.Duration(s.random.IntN(5000)) * time.Millisecond
	outage := 2500*time.Millisecond + time.Duration(s.random.IntN(600))*time.Millisecond
	how = platformtest.Refusal(s.random.IntN(int(platformtest.Refusals)))
	service := []string{"llm", "app"}[s.random.IntN(2)]
	back := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	run(func() {
		time.Sleep(begins)
		s.expireEntries(access, how, outage, service, back)
	})
}

// turnAway has the store turn a node away.
func (s *soak) turnAway(access *storeAccess, node int, how platformtest.Refusal, lasts time.Duration) {
	defer s.history.beginFault("turned away, "+how.String(), s.nodes[node].name)()
	from := time.Now()
	admit := s.links[node].view.TurnAway(how)
	time.Sleep(lasts)
	admit()
	access.mu.Lock()
	defer access.mu.Unlock()
	name := s.nodes[node].name
	access.troubles[name] = append(access.troubles[name], accessTrouble{from, time.Now()})
}

// leave replaces an endpoint by another one and removes its entry, with notice in the entry or without. It serves a while longer.
func (s *soak) leave(access *storeAccess, choice uint64, draining bool) {
	old := s.takeOut(choice)
	if draining {
		old.Register(s.store, "draining")
		time.Sleep(removalDelay / 2)
	}
	s.store.Remove("servers/" + old.ID)
	access.mu.Lock()
	defer access.mu.Unlock()
	access.removed[old] = time.Now()
}

// expireEntries has the store fail for all nodes. The entries of a service expire meanwhile and are listed again afterwards.
func (s *soak) expireEntries(access *storeAccess, how platformtest.Refusal, lasts time.Duration, service string, random *rand.Rand) {
	access.outage.Lock()
	defer access.outage.Unlock()
	defer s.history.beginFault("outage, "+how.String()+", entries of "+service+" expire", "")()
	from := time.Now()
	var admits []func()
	for _, l := range s.links {
		admits = append(admits, l.view.TurnAway(how))
	}
	time.Sleep(lasts - 100*time.Millisecond)
	s.mu.Lock()
	var expired []*platformtest.Endpoint
	for _, e := range s.endpoints {
		if e.Service == service {
			expired = append(expired, e)
			s.store.Remove("servers/" + e.ID)
		}
	}
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	for _, admit := range admits {
		admit()
	}
	access.mu.Lock()
	access.outages = append(access.outages, accessTrouble{from, time.Now()})
	access.mu.Unlock()
	var listed sync.WaitGroup
	for _, e := range expired {
		delay := time.Duration(random.Int64N(int64(relistTime)))
		listed.Go(func() {
			time.Sleep(delay)
			s.relist(access, e)
		})
	}
	listed.Wait()
	time.Sleep(stableTime - relistTime)
}

// relist lists an endpoint whose entry expired again, unless it has left.
func (s *soak) relist(access *storeAccess, e *platformtest.Endpoint) {
	access.mu.Lock()
	defer access.mu.Unlock()
	if _, left := access.removed[e]; !left {
		e.Register(s.store, "ready")
	}
}

// troubled reports whether a node could not call the store at some time in the stableTime before the instant.
func (a *storeAccess) troubled(node string, at time.Time) bool {
	for _, list := range [][]accessTrouble{a.troubles[node], a.outages} {
		for _, trouble := range list {
			if trouble.from.Before(at) && trouble.to.Add(stableTime).After(at) {
				return true
			}
		}
	}
	return false
}

// confirmed returns from when on a removal counts as confirmed by the store: once the store is stable.
func (a *storeAccess) confirmed(removed time.Time) time.Time {
	for _, outage := range a.outages {
		if stable := outage.to.Add(stableTime); removed.After(outage.from) && removed.Before(stable) {
			return stable
		}
	}
	return removed
}

// checkRemovals fails the test if an endpoint got a request too long after its removal from a node that could call the store.
func (s *soak) checkRemovals(access *storeAccess) {
	for e, removed := range access.removed {
		removed = access.confirmed(removed)
		late := 0
		var first platformtest.Arrival
		for _, a := range e.Arrivals() {
			if a.At.After(removed.Add(removalDelay+arrivalMargin)) && !access.troubled(s.sender(e, a), a.At.Add(-arrivalMargin)) {
				if late++; late == 1 {
					first = a
				}
			}
		}
		if late > 0 {
			o := outcome{id: first.ID, node: s.sender(e, first), sent: removed, ended: first.At}
			s.t.Errorf("endpoint %s got %d requests, the first one %v after its removal\n%s\nlogs in %s", e.ID, late, first.At.Sub(removed), s.history.timeline(o), s.dir)
		}
	}
	s.t.Logf("%d endpoints left, %d outages", len(access.removed), len(access.outages))
}

// minServed is the share of requests that must be answered around outages in which entries expire.
const minServed = 0.98

// checkServedInOutages fails the test if requests were refused around an outage of the store.
func (s *soak) checkServedInOutages(access *storeAccess) {
	for _, outage := range access.outages {
		sent, served := 0, 0
		for _, o := range s.history.outcomes {
			if o.resumes != "" || o.sent.Before(outage.from) || o.sent.After(outage.to.Add(stableTime)) {
				continue
			}
			sent++
			if o.status == http.StatusOK && o.err == nil {
				served++
			}
		}
		s.t.Logf("%d of %d requests answered around an outage", served, sent)
		if float64(served) < minServed*float64(sent) {
			s.t.Errorf("%d of %d requests answered around an outage\n%s\nlogs in %s", served, sent,
				s.history.timeline(outcome{sent: outage.from, ended: outage.to}), s.dir)
		}
	}
}
