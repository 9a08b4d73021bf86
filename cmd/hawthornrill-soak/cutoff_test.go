package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// bypassTime is the time from the beginning of a cut by which a node's callers must be served again.
	bypassTime = 3 * time.Second
	// cutTime is the length of the cuts.
	cutTime = 6 * time.Second
	// requestInterval is the time between two requests of each path to each node.
	requestInterval = 100 * time.Millisecond
	// cutOffEventInterval is the time between two events, and before an answer that is not a stream. The requests then need a fifth of the
	// endpoints' slots: a machine that is four times as slow does not make them overloaded, which is not what these tests are about.
	cutOffEventInterval = 5 * time.Millisecond
	// cutOffDeadline is how long these callers wait.
	cutOffDeadline = 3 * time.Second
)

// Guards against a node without links to the endpoints leaving its callers unserved while other nodes reach them.
func TestCallersOfNodeCutOffFromEndpointsAreServed(t *testing.T) {
	for i, f := range linkFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			cutsAtATime <- struct{}{}
			defer func() { <-cutsAtATime }()
			s := newSoak(t, int64(9000+i), false)
			s.serveDuringCut(f, requestInterval, allEndpoints)
		})
	}
}

// Guards against a node that needs many requests to notice that it is cut off.
func TestCallersOfNodeWithFewRequestsAreServed(t *testing.T) {
	for i, f := range linkFaults[:3] {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			cutsAtATime <- struct{}{}
			defer func() { <-cutsAtATime }()
			s := newSoak(t, int64(9100+i), false)
			s.serveDuringCut(f, time.Second, allEndpoints)
		})
	}
}

// Guards against cuts from a part of the endpoints being treated as cuts from all or none.
func TestCallersOfNodeCutOffFromSomeEndpointsAreServed(t *testing.T) {
	parts := []struct {
		name string
		cut  func(*platformtest.Endpoint) bool
	}{
		{"one service", func(e *platformtest.Endpoint) bool { return e.Service == "app" }},
		{"one data centre", func(e *platformtest.Endpoint) bool { return e.Zone == "dc-1" }},
	}
	for i, part := range parts {
		t.Run(part.name, func(t *testing.T) {
			t.Parallel()
			cutsAtATime <- struct{}{}
			defer func() { <-cutsAtATime }()
			s := newSoak(t, int64(9200+i), false)
			cut := make(map[string]bool)
			for _, e := range s.endpoints {
				cut[e.Address()] = part.cut(e)
			}
			s.serveDuringCut(linkFaults[0], requestInterval, func(address string) bool { return cut[address] })
		})
	}
}

// cutsAtATime bounds the tests of cuts that run at the same time, so that the machine bears their processes beside other tests.
var cutsAtATime = make(chan struct{}, 2)

// serveDuringCut cuts two nodes off while callers send requests at fixed times, and checks what they got.
func (s *soak) serveDuringCut(f linkFault, interval time.Duration, which func(address string) bool) {
	for _, e := range s.endpoints {
		e.SetEventInterval(cutOffEventInterval)
	}
	s.waitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.callAllNodes(stop, interval) })
	time.Sleep(2 * time.Second)
	from := time.Now()
	cut := make(map[string]bool)
	var ends []func()
	for node := range 2 {
		cut[s.nodes[node].name] = true
		ends = append(ends, s.history.beginFault(f.name, s.nodes[node].name))
		s.links[node].begin(f, which)
	}
	time.Sleep(cutTime)
	to := time.Now()
	for node, end := range ends {
		s.links[node].end()
		end()
	}
	time.Sleep(bypassTime)
	close(stop)
	callers.Wait()
	s.checkServed(cut, from.Add(bypassTime), to)
	s.check()
}

// callAllNodes sends each node requests of each path at fixed times until stop is closed.
func (s *soak) callAllNodes(stop chan struct{}, interval time.Duration) {
	var calls sync.WaitGroup
	defer calls.Wait()
	clients := make([]http.RoundTripper, len(s.nodes))
	for i := range clients {
		clients[i] = httpresponse.NewTransport(&http.Transport{})
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i, n := range s.nodes {
			for _, path := range paths {
				calls.Go(func() { s.history.addOutcome(s.callWithin(clients[i], n, path, "k0", cutOffDeadline)) })
			}
		}
	}
}

// checkServed fails the test if, of the requests sent in the period, those at the cut nodes were served less than two thirds as
// often as the others, or of the others not nine in ten.
func (s *soak) checkServed(cut map[string]bool, from, to time.Time) {
	sent, served := map[bool]int{}, map[bool]int{}
	failures := map[string]int{}
	for _, o := range s.history.outcomes {
		if o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		sent[cut[o.node]]++
		if o.status == http.StatusOK && o.err == nil {
			served[cut[o.node]]++
		} else if cut[o.node] {
			failures[fmt.Sprint(o.status, " ", o.path, " ", strings.SplitN(o.body, ",", 2)[0])]++
		}
	}
	for _, e := range s.endpoints {
		s.t.Logf("endpoint %s: %v between two events, meant to be %v", e.ID, e.EventTime(), cutOffEventInterval)
	}
	s.t.Logf("cut off: %d of %d served, others: %d of %d; failures %v", served[true], sent[true], served[false], sent[false], failures)
	if 3*served[true]*sent[false] < 2*served[false]*sent[true] {
		s.t.Errorf("nodes cut off from the endpoints served %d of %d requests, the others %d of %d\nlogs in %s",
			served[true], sent[true], served[false], sent[false], s.dir)
	}
	if 10*served[false] < 9*sent[false] {
		s.t.Errorf("nodes with sound links served %d of %d requests\nlogs in %s", served[false], sent[false], s.dir)
	}
}
