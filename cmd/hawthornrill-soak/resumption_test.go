package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// versionsTime is the time of a run with several software versions.
	versionsTime = 10 * time.Second
	// longStreamEvents and longStreamInterval make streams last so long that many meet a fault.
	longStreamEvents   = 40
	longStreamInterval = 25 * time.Millisecond
	streamCallers      = 16
)

// versionSeeds are run by every test run; see keptSeeds.
var versionSeeds = []int64{30000, 30001}

// Guards against streams that continue at another software version than the one that began them, and against streams that are not continued
// although endpoints of their version serve.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, seed := range seedsToPlay(versionSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			newVersionsSoak(t, seed).runVersions(seed)
		})
	}
}

// Guards against knowledge of a stream's version that dies with the node that served it.
func TestStreamsOfKilledNodesGoOn(t *testing.T) {
	s := newVersionsSoak(t, 30100)
	s.waitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 2 * streamCallers {
		random := rand.New(rand.NewPCG(uint64(s.seed), uint64(stayingStream+i)))
		callers.Go(func() { s.streamUntil(stop, random) })
	}
	for kill := range killedNodes {
		time.Sleep(killInterval)
		s.kill(kill%len(s.nodes), 0, 0)
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	s.check()
}

// Guards against new streams that keep streams from going on: under overload these meet at the few endpoints of their version.
func TestStreamsGoOnUnderOverload(t *testing.T) {
	s := newVersionsSoak(t, 30200)
	s.waitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range overloadCallers {
		random := rand.New(rand.NewPCG(uint64(s.seed), uint64(stayingStream+i)))
		callers.Go(func() { s.streamUntil(stop, random) })
	}
	time.Sleep(versionsTime)
	close(stop)
	callers.Wait()
	s.check()
}

// overloadCallers are more than four times the slots of the endpoints.
const overloadCallers = 160

const (
	killedNodes  = 6
	killInterval = 1500 * time.Millisecond
)

// newVersionsSoak has three software versions with unequal shares of the endpoints.
func newVersionsSoak(t *testing.T, seed int64) *soak {
	s := newSoak(t, seed, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, version := range []string{"v1", "v1", "v1", "v3", "v3"} {
		s.addEndpoint("llm", i, version)
	}
	s.lastVersion = 3
	s.streamEvents = longStreamEvents
	for _, e := range s.endpoints {
		e.SetStreamEvents(longStreamEvents)
		e.SetEventInterval(longStreamInterval)
	}
	return s
}

// runVersions has callers stream while nodes and endpoints come and go.
func (s *soak) runVersions(seed int64) {
	s.waitReady()
	stop := make(chan struct{})
	var callers, faults sync.WaitGroup
	for i := range streamCallers {
		random := rand.New(rand.NewPCG(uint64(seed), uint64(stayingStream+i)))
		callers.Go(func() { s.streamUntil(stop, random) })
	}
	end := time.Now().Add(max(versionsTime, *durationFlag))
	random := rand.New(rand.NewPCG(uint64(seed), versionStream))
	give := []func(*rand.Rand){s.killSome, s.killSome, s.breakOffEndpoint, s.breakOffEndpoint, s.replaceEndpoints, s.resetCallers,
		s.rollStops, s.disturbNode}
	for time.Now().Before(end) {
		fault, own := give[random.IntN(len(give))], rand.New(rand.NewPCG(random.Uint64(), versionStream))
		faults.Go(func() { fault(own) })
		time.Sleep(upTo(random, 1500*time.Millisecond))
	}
	faults.Wait()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	s.check()
}

// streamUntil sends one stream after another to any node until stop is closed, on connections that are kept open.
func (s *soak) streamUntil(stop chan struct{}, random *rand.Rand) {
	s.sendUntil(stop, random, func(client http.RoundTripper) outcome {
		n := s.nodes[random.IntN(len(s.nodes))]
		number := s.requests.Add(1)
		o := outcome{
			id: fmt.Sprint("r", number), node: n.name, key: fmt.Sprint("k", random.IntN(8)), path: "/chat/", content: fmt.Sprint("body ", number%64),
		}
		if random.IntN(3) == 0 {
			o.leaveAfter = 1 + random.IntN(longStreamEvents-1)
		}
		return s.send(client, n, o, callTimeout)
	})
}

// killSome kills up to half of the nodes at once.
func (s *soak) killSome(random *rand.Rand) {
	var kills sync.WaitGroup
	defer kills.Wait()
	for _, node := range random.Perm(len(s.nodes))[:1+random.IntN(len(s.nodes)/2)] {
		kills.Go(func() { s.kill(node, 0, 0) })
	}
}

// breakOffEndpoint ends an endpoint amid its streams. Another one of a drawn version takes its place.
func (s *soak) breakOffEndpoint(random *rand.Rand) {
	s.crashEndpoint(0, upTo(random, time.Second), random.Uint64())
}

// resetCallers has an endpoint end its streams early for a while.
func (s *soak) resetCallers(random *rand.Rand) {
	defer s.history.beginFault("streams break", "")()
	e := s.pick(random.Uint64())
	s.impair(e)
	e.AbortStreamsAfter(1 + random.IntN(longStreamEvents))
	time.Sleep(upTo(random, time.Second))
	e.AbortStreamsAfter(0)
}

// disturbNode freezes a node, or cuts it off from the store or from the other nodes.
func (s *soak) disturbNode(random *rand.Rand) {
	node, lasts, choice := random.IntN(len(s.nodes)), upTo(random, 2*time.Second), random.Uint64()
	[]func(int, time.Duration, uint64){s.freeze, s.cutStore, s.losePeers}[random.IntN(3)](node, lasts, choice)
}
