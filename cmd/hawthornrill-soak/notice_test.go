package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// restGrace is the time after a rejection in which further requests of the node may still arrive.
	restGrace = 500 * time.Millisecond
	// maxArrivalsDuringRest is the number of requests of one node that may arrive later in a rest.
	maxArrivalsDuringRest = 2
	// maxNoticeDelay is the time after a node passed on a notice of leaving from which on it must send the endpoint no requests
	// that callers send.
	maxNoticeDelay = 2 * time.Second
	// noticeStream separates the draws of notices from those of the faults, so that they don't change what a seed means.
	noticeStream = 1
)

// giveNotices has endpoints ask for rest and announce that they leave until the end.
func (s *soak) giveNotices(random *rand.Rand, end time.Time, run func(func())) {
	for time.Now().Before(end) {
		notice := []func(time.Duration, uint64){s.askForRest, s.announceLeaving}[random.IntN(2)]
		lasts := time.Duration(500+random.IntN(3000)) * time.Millisecond
		choice := random.Uint64()
		run(func() { notice(lasts, choice) })
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
	}
}

// askForRest has an endpoint reject requests and ask for rest, at times with a malformed value.
func (s *soak) askForRest(lasts time.Duration, choice uint64) {
	defer s.history.beginFault("endpoint asks for rest", "")()
	e := s.pick(choice)
	s.impair(e)
	e.AskForRest([]string{"3", "1.5", "0.7", "4", "3", "soon", "-2"}[choice>>8%7])
	time.Sleep(lasts)
	e.AskForRest("")
}

// announceLeaving has an endpoint say in its responses that it is leaving, and only later in its entry.
func (s *soak) announceLeaving(lasts time.Duration, choice uint64) {
	old := s.takeOut(choice)
	old.AnnounceLeaving()
	time.Sleep(maxNoticeDelay + lasts)
	old.Register(s.store, "draining")
	time.Sleep(2 * time.Second)
	s.store.Remove("servers/" + old.ID)
}

// checkNotices fails the test if a node sent an endpoint requests against the endpoint's notice to that node.
func (s *soak) checkNotices() {
	byID := make(map[string]outcome, len(s.history.outcomes))
	for _, o := range s.history.outcomes {
		byID[o.id] = o
	}
	rests, leaving := 0, 0
	for _, e := range s.allEndpoints() {
		for node, arrivals := range s.arrivalsByNode(e) {
			rests += s.checkRests(e, node, arrivals)
			leaving += s.checkLeaving(e, node, arrivals, byID)
		}
	}
	s.t.Logf("%d rests asked for, %d notices of leaving passed on", rests, leaving)
}

// arrivalsByNode returns the endpoint's arrivals by the node that sent them.
func (s *soak) arrivalsByNode(e *platformtest.Endpoint) map[string][]platformtest.Arrival {
	byNode := make(map[string][]platformtest.Arrival)
	for _, a := range e.Arrivals() {
		sender := s.sender(e, a)
		byNode[sender] = append(byNode[sender], a)
	}
	return byNode
}

// checkRests returns the number of rests that the endpoint asked the node for.
func (s *soak) checkRests(e *platformtest.Endpoint, node string, arrivals []platformtest.Arrival) (rests int) {
	for _, asked := range arrivals {
		seconds, err := strconv.ParseFloat(asked.Rest, 64)
		if err != nil || seconds <= 0 {
			continue
		}
		rests++
		from, to := asked.At.Add(restGrace), asked.At.Add(time.Duration(seconds*float64(time.Second)))
		var during []platformtest.Arrival
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(to) && !s.history.explainsNoticeBreach(node, asked.At, a.At) {
				during = append(during, a)
			}
		}
		if len(during) > maxArrivalsDuringRest {
			o := outcome{id: during[0].ID, node: node, sent: asked.At, ended: to}
			s.t.Errorf("endpoint %s asked %s for %v s of rest and got %d requests of it\n%s\nlogs in %s", e.ID, node, seconds, len(during),
				s.history.timeline(o), s.dir)
		}
	}
	return rests
}

// checkLeaving returns the number of answers with the endpoint's notice of leaving that the node passed on.
func (s *soak) checkLeaving(e *platformtest.Endpoint, node string, arrivals []platformtest.Arrival, byID map[string]outcome) (passedOn int) {
	var first time.Time
	for _, a := range arrivals {
		o := byID[a.ID]
		if !a.Leaving || o.err != nil || o.body == "" || o.status >= 500 {
			continue
		}
		passedOn++
		if first.IsZero() || o.ended.Before(first) {
			first = o.ended
		}
	}
	if passedOn == 0 {
		return 0
	}
	late := slices.IndexFunc(arrivals, func(a platformtest.Arrival) bool {
		return byID[a.ID].sent.After(first.Add(maxNoticeDelay)) && !s.history.explainsNoticeBreach(node, first, a.At)
	})
	if late >= 0 {
		s.t.Errorf("endpoint %s got a request of %s later than %v after its notice of leaving\n%s\nlogs in %s", e.ID, node, maxNoticeDelay,
			s.history.timeline(byID[arrivals[late].ID]), s.dir)
	}
	return passedOn
}
