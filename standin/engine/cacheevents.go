package engine

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// cacheEvents is the log of the prompt cache, seen late and with gaps.
type cacheEvents struct {
	delay    time.Duration
	gap      float64
	random   *rand.Rand
	sequence uint64
	log      []cacheEvent
}

type cacheEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

// cacheEventLimit bounds the log; older events are lost.
const cacheEventLimit = 8192

func newCacheEvents(o Options) cacheEvents {
	return cacheEvents{
		delay:  o.CacheEventDelay,
		gap:    o.CacheEventLossRate,
		random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

func (c *cacheEvents) add(now time.Time, hash uint64, stored bool) {
	c.sequence++
	if c.gap > 0 && c.random.Float64() < c.gap {
		return
	}
	if len(c.log) >= 2*cacheEventLimit {
		c.log = append(c.log[:0], c.log[cacheEventLimit:]...)
	}
	event := endpoint.CacheEvent{Sequence: c.sequence, Block: hash, Stored: stored}
	c.log = append(c.log, cacheEvent{at: now, event: event})
}

// after returns the visible events with greater sequence numbers.
func (c *cacheEvents) after(now time.Time, sequence uint64) []endpoint.CacheEvent {
	var events []endpoint.CacheEvent
	for _, e := range c.log {
		if now.Sub(e.at) < c.delay {
			break
		}
		if e.event.Sequence > sequence {
			events = append(events, e.event)
		}
	}
	return events
}

// restart forgets the log. Sequence numbers go on from a round number, so that a
// reader sees a gap.
func (c *cacheEvents) restart(life uint64) {
	c.log = nil
	c.sequence = life << restartShift
}

// restartShift leaves room for the events of one life.
const restartShift = 32
