package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdStream is the stream of random numbers of the crowds.
	crowdStream = 60
	// crowdNodeMB is the memory of the nodes' hosts.
	crowdNodeMB = 128
	// maxCrowd bounds the clients of a form.
	maxCrowd = 150
	// crowdPause bounds the time between two crowds, crowdStay the time for which one stays, both in milliseconds.
	crowdPause, crowdStay = 1000, 4000
)

// keptCrowdSeeds are played by every test run.
var keptCrowdSeeds = []int64{60000}

// Guards against promises that don't hold beside clients that don't behave, while nodes are stopped, killed and cut off, and against nodes
// that hold more memory than their hosts have.
func TestMisbehavingClientsAmongFaults(t *testing.T) {
	for _, seed := range seedsToPlay(keptCrowdSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newSoakWithSettings(t, seed, true, maxRevocationDelay, func(text string) string {
				return strings.Replace(text, "memory_mb = 128\n", fmt.Sprintf("memory_mb = %d\nmax_files = 1000\n", crowdNodeMB), 1)
			})
			s.crowds = true
			s.run(*durationFlag)
		})
	}
}

// crowdForms are the forms of which no request can complete: the checks know all others.
func crowdForms() []clientForm {
	return slices.DeleteFunc(slices.Clone(clientForms), func(f clientForm) bool { return f.completes })
}

// giveCrowds lets crowds join single nodes, stay and leave, several at a time, until the end of the run.
func (s *soak) giveCrowds(random *rand.Rand, end time.Time, start func(func())) {
	forms := crowdForms()
	for time.Now().Before(end) {
		node, stay := s.nodes[random.IntN(len(s.nodes))], time.Duration(random.IntN(crowdStay))*time.Millisecond
		form := forms[random.IntN(len(forms))]
		form.clients = 1 + random.IntN(min(form.clients, maxCrowd))
		start(func() {
			c := &crowd{address: node.callerAddress}
			c.join(form)
			time.Sleep(stay)
			c.leave()
		})
		time.Sleep(time.Duration(random.IntN(crowdPause)) * time.Millisecond)
	}
}

// watchMemory fails the test if a node holds more memory than its host has. It ends with the channel.
func (s *soak) watchMemory(stop <-chan struct{}, wait *sync.WaitGroup) {
	for _, n := range s.nodes {
		wait.Go(func() {
			peak := int64(0)
			for {
				select {
				case <-stop:
					s.t.Logf("%s: peak %.1f MB", n.name, float64(peak)/(1<<20))
					if peak > crowdNodeMB<<20 {
						s.t.Errorf("%s held %d bytes on a host of %d MB; logs in %s", n.name, peak, crowdNodeMB, s.dir)
					}
					return
				case <-time.After(20 * time.Millisecond):
					peak = max(peak, n.anonymousBytes(s.t))
				}
			}
		})
	}
}
