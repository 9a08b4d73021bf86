package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// silences is the number of silences of a seed, maxSilence the longest one, maxChangeBefore how long before it an entry changes at most.
	silences        = 2
	maxSilence      = 5 * time.Second
	maxChangeBefore = 600 * time.Millisecond
	// signalInterval is the mean time between two signals to nodes.
	signalInterval = 4 * time.Second
)

// Guards against nodes that go on using endpoints for up to 25 s after they left, since answers of the store were lost in a silence.
func TestEndpointsLeaveAfterSilenceOfStore(t *testing.T) {
	for _, seed := range seedsToPlay([]int64{56000, 56001}) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			newSoakWithKeyAge(t, seed, false, longKeyAge).leaveAfterSilences()
		})
	}
}

func (s *soak) leaveAfterSilences() {
	s.waitReady()
	access := &storeAccess{troubles: make(map[string][]accessTrouble), removed: make(map[*platformtest.Endpoint]time.Time)}
	stop := make(chan struct{})
	var callers, signals sync.WaitGroup
	for i := range *callersFlag {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		callers.Go(func() { s.callUntil(stop, random, func() *process { return s.nodes[random.IntN(len(s.nodes))] }) })
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	if s.seed%2 == 1 { // a node that starts reads the list, and its reports tell the others
		signals.Go(func() { s.signalUntil(access, stop, random) })
	}
	time.Sleep(stableTime)
	for range silences {
		s.silence(access)
	}
	close(stop)
	signals.Wait()
	callers.Wait()
	s.checkRemovals(access)
	s.check()
}

// silence has the store fall silent right after an entry has changed, and endpoints leave as soon as the nodes are held to its changes.
func (s *soak) silence(access *storeAccess) {
	s.leave(access, s.random.Uint64(), false)
	time.Sleep(upTo(s.random, maxChangeBefore))
	endFault := s.history.beginFault("silence of the store", "")
	from := time.Now()
	var admits []func()
	for _, l := range s.links {
		admits = append(admits, l.view.TurnAway(platformtest.RefuseSilent))
	}
	time.Sleep(100*time.Millisecond + upTo(s.random, maxSilence))
	for _, admit := range admits {
		admit()
	}
	endFault()
	access.mu.Lock()
	access.outages = append(access.outages, accessTrouble{from, time.Now()})
	access.mu.Unlock()
	time.Sleep(stableTime)
	for range 2 {
		s.leave(access, s.random.Uint64(), s.random.IntN(3) == 0)
		time.Sleep(upTo(s.random, time.Second))
	}
	time.Sleep(removalDelay + time.Second)
}

// signalUntil reloads and restarts nodes until stop is closed.
func (s *soak) signalUntil(access *storeAccess, stop chan struct{}, random *rand.Rand) {
	give := []func(int, time.Duration, uint64){s.reload, s.stopGracefully, s.kill}
	for {
		select {
		case <-stop:
			return
		case <-time.After(upTo(random, 2*signalInterval)):
		}
		node := random.IntN(len(s.nodes))
		from := time.Now()
		give[random.IntN(len(give))](node, 0, 0)
		access.mu.Lock()
		name := s.nodes[node].name
		access.troubles[name] = append(access.troubles[name], accessTrouble{from, time.Now()})
		access.mu.Unlock()
	}
}
