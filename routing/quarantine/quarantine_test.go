package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/routing"
)

var t0 = time.Unix(1000, 0)

const poison uint64 = 666

func TestScore(t *testing.T) {
	crash := func(endpoint domain.EndpointID, after time.Duration, alone bool) func(*Set) {
		return func(s *Set) { s.Crashed(t0.Add(after), endpoint, poison, alone) }
	}
	clear := func(after time.Duration) func(*Set) {
		return func(s *Set) { s.Completed(t0.Add(after), poison) }
	}
	old := func(s *Set) {
		s.Merge(t0.Add(9*time.Second), []Evidence{{Fingerprint: poison, Endpoint: 1, Crashes: 3, Age: 8 * time.Second}})
	}
	type steps []func(*Set)
	for name, tt := range map[string]struct {
		steps   steps
		suspect bool
		left    time.Duration
	}{
		"no evidence":                   {nil, false, 0},
		"one crash":                     {steps{crash("a", 0, false)}, true, 0},
		"two crashes of one endpoint":   {steps{crash("a", 0, false), crash("a", 5*time.Second, false)}, true, 0},
		"three crashes of one endpoint": {steps{crash("a", 0, false), crash("a", 0, false), crash("a", 10*time.Second, false)}, true, 2 * time.Minute},
		"two endpoints":                 {steps{crash("a", 0, false), crash("b", 10*time.Second, false)}, true, 2 * time.Minute},
		"three endpoints":               {steps{crash("a", 0, false), crash("b", 0, false), crash("c", 10*time.Second, false)}, true, 8 * time.Minute},
		"alone at one crash":            {steps{crash("a", 10*time.Second, true)}, true, 2 * time.Minute},
		"completed elsewhere":           {steps{crash("a", 0, false), crash("b", 0, false), clear(9 * time.Second)}, false, 0},
		"crash after completion":        {steps{crash("a", 0, false), clear(9 * time.Second), crash("b", 10*time.Second, false)}, true, 0},
		"crash before completion":       {steps{crash("a", 0, false), clear(5 * time.Second), old}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSet(Options{})
			for _, step := range tt.steps {
				step(s)
			}
			now := t0.Add(10 * time.Second)
			assert.Equal(t, s.Suspect(now, poison), tt.suspect)
			assert.Equal(t, s.Quarantined(now, poison), tt.left)
			assert.Equal(t, s.Quarantined(now.Add(tt.left), poison), time.Duration(0))
			assert.Equal(t, s.Suspect(now.Add(DefaultRetention), poison), false)
		})
	}
}

func TestSetIsBoundedAndExpires(t *testing.T) {
	s := NewSet(Options{MaxContents: 3})
	assert.Equal(t, len(s.Crashed(t0, "a", 0, true)), 0, "fingerprint 0 is ignored")
	for i := range uint64(5) {
		s.Crashed(t0.Add(time.Duration(i)*time.Second), "a", i+1, false)
	}
	assert.Equal(t, s.Len(), 3)
	assert.Assert(t, !s.Suspect(t0, 2) && s.Suspect(t0.Add(5*time.Second), 3))
	s.Crashed(t0.Add(2*DefaultRetention), "a", 9, false)
	assert.Equal(t, s.Len(), 1)
}

// cluster is two data centres of three nodes.
type cluster struct {
	network  *peertest.Network
	services []*Service
}

func runCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{network: peertest.NewNetwork()}
		defer c.network.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var peers []membership.Peer
		for i := range 6 {
			m := domain.Member{Node: domain.NodeID(fmt.Sprint(i)), Incarnation: 1, DataCentre: domain.DataCentre('A' + rune(i/3))}
			peers = append(peers, membership.Peer{Member: m})
		}
		for _, p := range peers {
			s := New(Options{Transport: c.network.Node(p.Member), Membership: membership.NewStaticView(&membership.Snapshot{Self: p.Member, Peers: peers})})
			c.services = append(c.services, s)
		}
		for _, s := range c.services {
			go func() { _ = s.Run(ctx) }()
		}
		f(t, c)
	})
}

// suspectingNodes returns the number of nodes on which the content is a suspect.
func (c *cluster) suspectingNodes() int {
	count := 0
	for _, s := range c.services {
		if s.Suspect(poison) {
			count++
		}
	}
	return count
}

func TestEvidenceReachesAllNodes(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		c.network.ResetCounts()
		c.services[0].Crashed("e1", poison, false)
		time.Sleep(time.Second)
		assert.Equal(t, c.suspectingNodes(), 6)
		assert.Equal(t, c.network.Total(methodReport).Messages, 5, "two in the data centre, one to the other and two relayed")
		c.services[4].Crashed("e2", poison, false)
		time.Sleep(time.Second)
		for _, s := range c.services {
			assert.Assert(t, s.Quarantined(poison) > time.Minute)
		}
		c.services[5].Completed(poison)
		time.Sleep(time.Second)
		assert.Equal(t, c.suspectingNodes(), 0)
	})
}

func TestLostEvidenceIsPulled(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.network.Partition([]domain.NodeID{"0", "1", "2"}, []domain.NodeID{"3", "4", "5"})
		c.services[0].Crashed("e1", poison, false)
		time.Sleep(time.Second)
		assert.Equal(t, c.suspectingNodes(), 3)
		c.network.HealAll()
		time.Sleep(6 * DefaultPullInterval)
		assert.Equal(t, c.suspectingNodes(), 6)
		c.network.ResetCounts()
		time.Sleep(DefaultPullInterval)
		assert.Assert(t, c.network.Total(methodPull).Bytes < 6*2*16, "equal digests transfer no evidence: %v", c.network.Total(methodPull))
	})
}

// testPool is a pool owned by one node, whose endpoints crash when they run the poison content.
type testPool struct {
	router  *routing.Router
	states  []*capacity.EndpointState
	running map[int][]capacity.Request
}

func newTestPool(name string, q routing.Quarantine) *testPool {
	p := &testPool{router: routing.NewRouter(routing.Options{Quarantine: q}), running: make(map[int][]capacity.Request)}
	for i := range 2 {
		p.states = append(p.states, &capacity.EndpointState{ID: domain.EndpointID(fmt.Sprint(name, i)), Row: &config.EndpointRow{ID: domain.EndpointID(fmt.Sprint(name, i))}})
	}
	return p
}

// submit places a request with the content and returns false if the content is quarantined.
func (p *testPool) submit(fingerprint uint64) bool {
	now := time.Now()
	request := capacity.Request{Pool: "model/m", Fingerprint: fingerprint, PromptTokens: 100, AnswerTokens: 10}
	if p.router.Admit(now, &request) != nil {
		return false
	}
	if at, ok := p.router.Choose(now, &capacity.QueuedRequest{Request: &request}, p.states); ok {
		p.router.Granted(now, p.states[at], &request)
		p.states[at].Requests++
		p.running[at] = append(p.running[at], request)
	}
	return true
}

// finishAll ends all running requests and returns the number of crashes.
func (p *testPool) finishAll() int {
	crashes := 0
	for at, requests := range p.running {
		result := capacity.Result{Dispatched: true, Complete: true, FirstToken: time.Second, Total: 2 * time.Second, AnswerTokens: 10}
		for _, request := range requests {
			if request.Fingerprint == poison {
				result = capacity.Result{Dispatched: true, Crashed: true}
				crashes++
			}
		}
		for _, request := range requests {
			p.states[at].Requests--
			p.router.Observe(time.Now(), p.states[at], &request, result)
		}
	}
	clear(p.running)
	return crashes
}

// TestPoisonContentIsQuarantinedAndNeighboursAreNot sends one crashing content among healthy ones to
// two data centres alternately, and retries all that crashed.
func TestPoisonContentIsQuarantinedAndNeighboursAreNot(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		pools := []*testPool{newTestPool("a", c.services[0]), newTestPool("b", c.services[3])}
		crashes, refusals := 0, 0
		for round := range 60 {
			pool := pools[round%2]
			for i := range uint64(16) {
				if i == 5 && !pool.submit(poison) {
					refusals++
				}
				assert.Assert(t, pool.submit(1000+i), "a healthy content was quarantined in round %d", round)
			}
			time.Sleep(2 * time.Second)
			crashes += pool.finishAll()
			time.Sleep(time.Second)
		}
		assert.Equal(t, crashes, 3, "two, and one more after the first quarantine")
		assert.Assert(t, refusals > 50, "%d", refusals)
	})
}
