package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
)

const (
	// lateInterval is the time between two requests to a node that stops, and lateWork that for a plain answer or an event.
	lateInterval, lateWork = 100 * time.Millisecond, 700 * time.Millisecond
	// lateTimeout exceeds the grace period: requests that are left wait beyond its end.
	lateTimeout = 20 * time.Second
)

// keptLateSeeds are played by every test run.
var keptLateSeeds = []int64{63500}

// Guards against requests that are taken late in the grace period and cut at its end, among them those that a node without links to the
// endpoints has passed to one that stops. In one seed of three requests run beyond the end.
func TestRequestsLateInTheGracePeriodAreAnswered(t *testing.T) {
	for _, seed := range seedsToPlay(keptLateSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			answersAtATime <- struct{}{}
			defer func() { <-answersAtATime }()
			s := newSoak(t, seed, false)
			for _, e := range s.endpoints {
				e.SetEventInterval(lateWork * time.Duration([]int{1, 4, 9}[seed%3]))
			}
			s.waitReady()
			s.stopHelpers()
		})
	}
}

// stopHelpers cuts a node off from the endpoints, asks the others one after the other to stop, while callers keep sending, and checks
// that every request that was taken is answered.
func (s *soak) stopHelpers() {
	cut := s.nodes[0]
	defer s.history.beginFault("links reset", cut.name)()
	s.links[0].begin(linkFaults[2], allEndpoints)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, n := range s.nodes {
		random := rand.New(rand.NewPCG(uint64(s.seed), uint64(i)))
		callers.Go(func() { s.sendLate(stop, random, n) })
	}
	time.Sleep(time.Second + time.Duration(s.random.IntN(1000))*time.Millisecond)
	var exits []<-chan struct{}
	for _, n := range s.nodes[1:] {
		exits = append(exits, n.signal(syscall.SIGTERM))
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	for _, exited := range exits {
		<-exited
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	s.checkLate(cut)
}

// sendLate sends requests to a node at fixed times, each on a new connection or on one that others have used before.
func (s *soak) sendLate(stop chan struct{}, random *rand.Rand, n *process) {
	var calls sync.WaitGroup
	defer calls.Wait()
	shared := httpresponse.NewTransport(&http.Transport{})
	ticker := time.NewTicker(lateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		client, path := shared, []string{"/book/", "/book/", "/look/", "/once/"}[random.IntN(4)]
		if random.IntN(2) == 0 {
			client = httpresponse.NewTransport(&http.Transport{DisableKeepAlives: true})
		}
		calls.Go(func() { s.history.addOutcome(s.callWithin(client, n, path, "k0", lateTimeout)) })
	}
}

// checkLate fails the test if a request that had a connection got no final answer, or a wrong one. A stream that has begun may end with
// the grace period.
func (s *soak) checkLate(cut *process) {
	count := make(map[string]int)
	for _, o := range s.history.outcomes {
		runs := s.runs(o.id)
		where := "stopping"
		if o.node == cut.name {
			where = "passed on"
		}
		stream := strings.HasPrefix(o.path, "/once/")
		switch {
		case o.err != nil && o.connected && !(stream && o.status == http.StatusOK):
			s.t.Errorf("%s: %s got no answer and ran %d times: %v\n%s", where, o.path, runs, o.err, s.history.timeline(o))
		case o.err != nil && !o.connected:
			count[where+", refused"]++
			continue
		case o.status != http.StatusOK && o.status != http.StatusServiceUnavailable && o.status != http.StatusBadGateway && o.status != http.StatusGatewayTimeout:
			s.t.Errorf("%s: status %d", where, o.status)
		case o.status == http.StatusServiceUnavailable && runs > 0:
			s.t.Errorf("%s: %s was told that it had not run, and ran\n%s", where, o.path, s.history.timeline(o))
		case o.path == "/book/" && runs > 1:
			s.t.Errorf("%s: ran %d times", where, runs)
		case o.status != http.StatusOK && runs == 0 && o.status != http.StatusServiceUnavailable:
			count[where+", unknown, not run"]++
		}
		count[fmt.Sprintf("%s, %d", where, o.status)]++
	}
	s.t.Logf("%v; logs in %s", count, s.dir)
	if count["passed on, 200"] == 0 {
		s.t.Error("no request was passed on")
	}
}
