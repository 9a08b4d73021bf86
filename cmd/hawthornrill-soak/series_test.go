package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// seriesStream separates the draws of series from those of the faults.
const seriesStream = 2

// giveSeries starts series of signals, restarts and changes until the end. Series overlap each other and the other faults.
func (s *soak) giveSeries(random *rand.Rand, end time.Time, run func(func())) {
	series := []func(*rand.Rand){
		s.rollStops, s.repeatStop, s.killWhileStopping, s.freezeWhileStopping, s.killWhileStarting, s.reloadOften, s.configureOften, s.replaceEndpoints,
	}
	for time.Now().Before(end) {
		give := series[random.IntN(len(series))]
		own := rand.New(rand.NewPCG(random.Uint64(), seriesStream))
		run(func() { give(own) })
		time.Sleep(upTo(random, 2*time.Second))
	}
}

func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

// rollStops stops half of the nodes one after the other, without waiting for the one before.
func (s *soak) rollStops(random *rand.Rand) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for _, node := range random.Perm(len(s.nodes))[:(len(s.nodes)+1)/2] {
		stops.Go(func() { s.stopGracefully(node, 0, 0) })
		time.Sleep(upTo(random, 2*time.Second))
	}
}

// repeatStop sends a node SIGTERM several times, with SIGHUP in between.
func (s *soak) repeatStop(random *rand.Rand) {
	var stops sync.WaitGroup
	defer stops.Wait()
	node := random.IntN(len(s.nodes))
	for range 2 + random.IntN(4) {
		stops.Go(func() { s.stopGracefully(node, 0, 0) })
		time.Sleep(upTo(random, time.Second))
		s.reload(node, 0, 0)
	}
}

func (s *soak) killWhileStopping(random *rand.Rand) {
	s.whileStopping(random, func(node int) { s.kill(node, 0, 0) })
}

func (s *soak) freezeWhileStopping(random *rand.Rand) {
	s.whileStopping(random, func(node int) { s.freeze(node, upTo(random, 1500*time.Millisecond), 0) })
}

// whileStopping disturbs a node at some moment of its graceful stop or of the start that follows.
func (s *soak) whileStopping(random *rand.Rand, disturb func(node int)) {
	var stop sync.WaitGroup
	defer stop.Wait()
	node := random.IntN(len(s.nodes))
	stop.Go(func() { s.stopGracefully(node, 0, 0) })
	time.Sleep(upTo(random, 6*time.Second))
	disturb(node)
}

// killWhileStarting kills a node again and again while it starts, with a SIGHUP in between.
func (s *soak) killWhileStarting(random *rand.Rand) {
	var kills sync.WaitGroup
	defer kills.Wait()
	node := random.IntN(len(s.nodes))
	for range 2 + random.IntN(3) {
		kills.Go(func() { s.kill(node, 0, 0) })
		time.Sleep(upTo(random, 200*time.Millisecond))
		s.reload(node, 0, 0)
		time.Sleep(upTo(random, 200*time.Millisecond))
	}
}

// reloadOften sends all nodes bursts of SIGHUP, after a change of their settings.
func (s *soak) reloadOften(random *rand.Rand) {
	for range 2 + random.IntN(8) {
		for node, n := range s.nodes {
			if err := n.writeSettings([]string{"info", "debug"}[random.IntN(2)]); err != nil {
				s.t.Error(err)
			}
			s.reload(node, 0, 0)
		}
		time.Sleep(upTo(random, 50*time.Millisecond))
	}
}

// configureOften writes configurations in quick succession. Each adds a key; some also take one away.
func (s *soak) configureOften(random *rand.Rand) {
	for range 3 + random.IntN(6) {
		if random.IntN(4) == 0 {
			s.revoke(0, 0, random.Uint64())
		}
		s.configure(func() { s.keys = append(s.keys, "added-"+time.Now().Format(time.StampNano)) })
		time.Sleep(upTo(random, 100*time.Millisecond))
	}
}

// replaceEndpoints replaces several endpoints, without waiting for the one before.
func (s *soak) replaceEndpoints(random *rand.Rand) {
	var replaced sync.WaitGroup
	defer replaced.Wait()
	for range 1 + random.IntN(3) {
		lasts, choice := upTo(random, time.Second), random.Uint64()
		replaced.Go(func() { s.replaceEndpoint(0, lasts, choice) })
		time.Sleep(upTo(random, time.Second))
	}
}
