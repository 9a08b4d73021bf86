package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
)

const (
	// entryRate is the number of requests a second that all callers together send, each on a connection of its own.
	entryRate = 160
	// evenTime is the time in which these go to all nodes, oneEntryTime that in which they go to one.
	evenTime     = 5 * time.Second
	oneEntryTime = 8 * time.Second
	// crowdedTime is the time after which the one node must serve them.
	crowdedTime = 3 * time.Second
	// endpointRate is the limit that each endpoint states, in requests a second; all of them together have several times entryRate.
	endpointRate = 60
	// brittleRejections is the number of rejections in a second that brittle endpoints withstand.
	brittleRejections = 4
)

// entryPeriod is the time in which new connections go to one node, or to all if there is none.
type entryPeriod struct {
	node     string
	from, to time.Time
}

// Guards against a node that gets nearly all new connections serving its callers worse than before: shares that are fixed by the number of nodes
// would be too small there. Then another one gets them as the first one leaves.
func TestOneNodeGetsMostNewConnections(t *testing.T) {
	newSoak(t, 43000, false).serveAtOneNode()
}

// Guards against shares of brittle endpoints that one node alone may not exceed although the others need none.
func TestOneNodeGetsMostNewConnectionsBeforeBrittleEndpoints(t *testing.T) {
	s := newSoak(t, 43001, false)
	for _, e := range s.endpoints {
		e.SetBrittle(brittleRejections)
	}
	s.serveAtOneNode()
}

// Guards against shares of the endpoints' limits that one node alone may not exceed although the others need none.
func TestOneNodeGetsMostNewConnectionsBeforeLimitedEndpoints(t *testing.T) {
	s := newSoak(t, 43002, false)
	for _, e := range s.endpoints {
		e.AdvertiseLimit(strconv.Itoa(endpointRate))
	}
	s.serveAtOneNode()
}

// serveAtOneNode sends all new connections to one node, then to another as the first one leaves, and checks that they are served.
func (s *soak) serveAtOneNode() {
	s.waitReady()
	all := entryPeriod{from: time.Now()}
	s.enter(nil, evenTime)
	all.to = time.Now()
	var periods []entryPeriod
	var stopping sync.WaitGroup
	for _, node := range []int{0, 1} {
		p := entryPeriod{node: s.nodes[node].name, from: time.Now()}
		s.enter(s.nodes[node], oneEntryTime)
		p.to = time.Now()
		periods = append(periods, p)
		if node == 0 {
			stopping.Go(func() { s.stopGracefully(0, 0, 0) })
		}
	}
	stopping.Wait()
	s.check()
	sent, served := s.firstTries(all)
	for _, p := range periods {
		p.from = p.from.Add(crowdedTime)
		oneSent, oneServed := s.firstTries(p)
		s.t.Logf("all nodes served %d of %d, %s alone %d of %d", served, sent, p.node, oneServed, oneSent)
		if 4*oneServed*sent < 3*served*oneSent {
			s.t.Errorf("%s, which got all new connections, served %d of %d requests, all nodes before %d of %d; logs in %s", p.node, oneServed, oneSent, served, sent, s.dir)
		}
	}
}

// enter sends requests at entryRate to the node, or to any if it is nil.
func (s *soak) enter(only *process, length time.Duration) {
	var calls sync.WaitGroup
	defer calls.Wait()
	random := rand.New(rand.NewPCG(uint64(s.seed), uint64(time.Duration(s.requests.Load()))))
	ticker := time.NewTicker(time.Second / entryRate)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		n, path := only, paths[random.IntN(len(paths))]
		if n == nil {
			n = s.nodes[random.IntN(len(s.nodes))]
		}
		calls.Go(func() {
			client := httpresponse.NewTransport(&http.Transport{})
			o := s.callWithin(client, n, path, fmt.Sprint("k", s.requests.Load()%8), callTimeout)
			client.CloseIdleConnections()
			s.history.addOutcome(o)
		})
	}
}

// firstTries counts the requests of the period, and those that were served.
func (s *soak) firstTries(p entryPeriod) (sent, served int) {
	for _, o := range s.history.outcomes {
		if o.sent.Before(p.from) || o.sent.After(p.to) || p.node != "" && o.node != p.node || o.status == http.StatusTooManyRequests {
			continue
		}
		sent++
		served += count(o.status == http.StatusOK && o.err == nil)
	}
	return sent, served
}
