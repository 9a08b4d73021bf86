package engine

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// cacheEvents is the event log of the prompt cache. Readers see events after a
// delay, and a fraction of the events is lost.
type cacheEvents struct {
	delay    time.Duration
	lossRate float64
	random   *rand.Rand
	sequence uint64
	log      []cacheEvent
}

type cacheEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

// cacheEventLimit is the number of events that the log retains at least; older
// events are dropped.
const cacheEventLimit = 8192

func newCacheEvents(o Options) cacheEvents {
	return cacheEvents{
		delay:    o.CacheEventDelay,
		lossRate: o.CacheEventLossRate,
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

func (c *cacheEvents) add(now time.Time, hash uint64, stored bool) {
	c.sequence++
	if c.lossRate > 0 && c.random.Float64() < c.lossRate {
		return
	}
	if len(c.log) >= 2*cacheEventLimit {
		c.log = append(c.log[:0], c.log[cacheEventLimit:]...)
	}
	event := endpoint.CacheEvent{Sequence: c.sequence, Block: hash, Stored: stored}
	c.log = append(c.log, cacheEvent{at: now, event: event})
}

// after returns the events past the delay whose sequence number is greater.
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

// restart clears the log. Sequence numbers continue from a value above all earlier
// ones, so that a reader sees a gap.
func (c *cacheEvents) restart(incarnation uint64) {
	c.log = nil
	c.sequence = incarnation << sequenceBits
}

// sequenceBits is the number of bits for the events of one incarnation.
const sequenceBits = 32
