package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// holdTimeWeight is the weight of a new value in the moving average of hold times.
const holdTimeWeight = 0.05

// pool is one pool at its owner.
type pool struct {
	name domain.PoolName
	// endpoints are the endpoints that serve the pool, sorted by identifier.
	endpoints []*ownedEndpoint
	holders   map[memberKey]*holder
	// servedElsewhere is true if other data centres serve the pool too.
	servedElsewhere bool
	// waiting counts queued requests, granted counts grants at the pool's endpoints.
	waiting int
	granted int
	// inService counts endpoints that take grants, available those that have room for
	// another request.
	inService int
	available int
	// meanHoldTime is the mean time for which a slot is held; zero if unknown.
	meanHoldTime time.Duration
	// skipRound and skipped count the requests skipped in the current scheduling round.
	skipRound uint64
	skipped   int
	// reservedRound is the last scheduling round in which an endpoint was reserved for
	// a request that needs more tokens than are free.
	reservedRound uint64
}

func newPool(name domain.PoolName) *pool {
	return &pool{name: name, holders: make(map[memberKey]*holder)}
}

// holder returns the records of a member and creates them if necessary.
func (p *pool) holder(member domain.Member, now time.Time) *holder {
	key := keyOfMember(member)
	h, ok := p.holders[key]
	if !ok {
		h = newHolder(member)
		p.holders[key] = h
	}
	h.lastContact = now
	return h
}

// observeHold adds a hold time to the mean.
func (p *pool) observeHold(d time.Duration) {
	if p.meanHoldTime == 0 {
		p.meanHoldTime = d
		return
	}
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(d-p.meanHoldTime))
}

// estimateWait estimates the time until a slot is free for a request with that many
// others ahead of it: one slot is released every meanHoldTime/granted.
func (p *pool) estimateWait(ahead int) time.Duration {
	if p.meanHoldTime == 0 || p.granted == 0 {
		return 0
	}
	return time.Duration(float64(p.meanHoldTime) * float64(ahead+1) / float64(p.granted))
}

// skip counts a request skipped in the scheduling round.
func (p *pool) skip(round uint64) {
	if p.skipRound != round {
		p.skipRound, p.skipped = round, 0
	}
	p.skipped++
}

// skippedIn returns the number of requests skipped in the scheduling round.
func (p *pool) skippedIn(round uint64) int {
	if p.skipRound != round {
		return 0
	}
	return p.skipped
}
