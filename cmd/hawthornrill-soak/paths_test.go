package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// pathStream separates the draws of faults between nodes and endpoints from those of the other faults.
const pathStream = 3

// cutPeriod is a period in which nodes did not reach any endpoint.
type cutPeriod struct {
	nodes    map[string]bool
	from, to time.Time
}

// brittlePeriod is a period in which the endpoints of a service said that they are brittle.
type brittlePeriod struct {
	service   string
	endpoints []*platformtest.Endpoint
	from, to  time.Time
}

// givePathFaults cuts nodes off from endpoints, has endpoints pause and be brittle until the end.
func (s *soak) givePathFaults(random *rand.Rand, end time.Time, run func(func())) {
	for time.Now().Before(end) {
		own := rand.New(rand.NewPCG(random.Uint64(), pathStream))
		give := []func(*rand.Rand){s.cutFromAll, s.cutFromSome, s.pauseEndpoint, s.pauseEndpoint, s.makeBrittle}[random.IntN(5)]
		run(func() { give(own) })
		time.Sleep(upTo(random, 3*time.Second))
	}
}

// cutFromAll cuts one to all but one of the nodes off from all endpoints, for long enough that callers must be served again. There
// is one cut at a time, so that it is known who is cut off.
func (s *soak) cutFromAll(random *rand.Rand) {
	if !s.cutting.TryLock() {
		return
	}
	defer s.cutting.Unlock()
	f := linkFaults[random.IntN(len(linkFaults))]
	cut := &cutPeriod{nodes: make(map[string]bool), from: time.Now()}
	var links []*endpointLinks
	for _, node := range random.Perm(len(s.nodes))[:1+random.IntN(len(s.nodes)-1)] {
		cut.nodes[s.nodes[node].name] = true
		links = append(links, s.links[node])
		defer s.history.beginFault(f.name, s.nodes[node].name)()
	}
	for _, l := range links {
		l.begin(f, allEndpoints)
	}
	time.Sleep(bypassTime + time.Second + upTo(random, 3*time.Second))
	cut.to = time.Now()
	for _, l := range links {
		l.end()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = append(s.cuts, cut)
}

// cutFromSome cuts a node off from the endpoints of one service, or of one data centre.
func (s *soak) cutFromSome(random *rand.Rand) {
	if !s.cutting.TryLock() {
		return
	}
	defer s.cutting.Unlock()
	f := linkFaults[random.IntN(len(linkFaults))]
	node := random.IntN(len(s.nodes))
	defer s.history.beginFault(f.name+" to some endpoints", s.nodes[node].name)()
	service, zone := []string{"llm", "app"}[random.IntN(2)], []string{"dc-0", "dc-1"}[random.IntN(2)]
	byService := random.IntN(2) == 0
	cut := make(map[string]bool)
	s.mu.Lock()
	for _, e := range s.endpoints {
		if byService && e.Service == service || !byService && e.Zone == zone {
			cut[e.Address()] = true
		}
	}
	s.mu.Unlock()
	s.links[node].begin(f, func(address string) bool { return cut[address] })
	time.Sleep(time.Second + upTo(random, 4*time.Second))
	s.links[node].end()
}

// pauseEndpoint has a sound endpoint send nothing for about a second. It explains no failure.
func (s *soak) pauseEndpoint(random *rand.Rand) {
	e := s.pick(random.Uint64())
	s.impair(e)
	defer s.history.beginFault("pause", "")()
	length := 800*time.Millisecond + upTo(random, 600*time.Millisecond)
	e.Pause(length)
	time.Sleep(length)
}

// makeBrittle has the endpoints of a service say that they are brittle.
func (s *soak) makeBrittle(random *rand.Rand) {
	period := &brittlePeriod{service: []string{"llm", "app"}[random.IntN(2)], from: time.Now()}
	maxRejections := 2 + random.IntN(6)
	s.mu.Lock()
	for _, e := range s.endpoints {
		if e.Service == period.service {
			period.endpoints = append(period.endpoints, e)
			s.serving[e].impaired = true
			e.SetBrittle(maxRejections)
		}
	}
	s.mu.Unlock()
	time.Sleep(5*time.Second + upTo(random, 3*time.Second))
	period.to = time.Now()
	for _, e := range period.endpoints {
		e.SetBrittle(-1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittlePeriods = append(s.brittlePeriods, period)
}

// checkCuts fails the test if callers of nodes that were cut off from all endpoints were served less than two thirds as often as
// the others, later than bypassTime after the beginning. Only nodes without other faults count.
func (s *soak) checkCuts() {
	for _, c := range s.cuts {
		sent, served := map[bool]int{}, map[bool]int{}
		for _, o := range s.history.outcomes {
			if o.status == http.StatusUnauthorized || o.sent.Before(c.from.Add(bypassTime)) || o.sent.After(c.to) || s.history.disturbed(o.node, c.from, o.ended) {
				continue
			}
			sent[c.nodes[o.node]]++
			if o.status == http.StatusOK && o.err == nil {
				served[c.nodes[o.node]]++
			}
		}
		s.t.Logf("%d nodes cut off from all endpoints: %d of %d served, others %d of %d", len(c.nodes), served[true], sent[true],
			served[false], sent[false])
		failed := sent[true] - served[true]
		if 3*served[true]*sent[false] < 2*served[false]*sent[true] && failed > 10+(sent[true]+sent[false])/50 {
			s.t.Errorf("nodes cut off from all endpoints served %d of %d requests, the others %d of %d\n%s\nlogs in %s",
				served[true], sent[true], served[false], sent[false], s.history.timeline(outcome{sent: c.from, ended: c.to}), s.dir)
		}
	}
}

// disturbed reports whether a node had a fault of its own, other than a cut from endpoints, or the store had one.
func (h *history) disturbed(node string, from, to time.Time) bool {
	for _, f := range h.faults {
		own := f.node == node && !strings.Contains(f.kind, "link") && f.kind != "reload"
		if (own || f.kind == "store fails") && f.overlaps(from, to, bypassTime) {
			return true
		}
	}
	return false
}

// checkBrittle fails the test if endpoints that said that they are brittle fell over more often than two and a tenth of their
// number allow.
func (s *soak) checkBrittle() {
	for _, p := range s.brittlePeriods {
		falls := 0
		for _, e := range p.endpoints {
			for _, at := range e.Falls() {
				if at.After(p.from) && at.Before(p.to) {
					falls++
				}
			}
		}
		s.t.Logf("%d endpoints of %s brittle for %v: %d fell over", len(p.endpoints), p.service, p.to.Sub(p.from), falls)
		if 10*falls > 20+len(p.endpoints) {
			s.t.Errorf("brittle endpoints of %s fell over %d times\n%s\nlogs in %s", p.service, falls,
				s.history.timeline(outcome{sent: p.from, ended: p.to}), s.dir)
		}
	}
}
