package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// holdWeight is the weight of a new value in the mean time that places are held.
const holdWeight = 0.05

// pool is one pool at its owner.
type pool struct {
	name domain.PoolName
	// places are the endpoints that serve it, sorted by identifier.
	places  []*place
	holders map[lifeOf]*holder
	// remote is true if other data centres serve it too.
	remote bool
	// waiting counts asks, granted counts grants at its places.
	waiting int
	granted int
	// inService counts places that take grants, open those that have room for
	// another request.
	inService int
	open      int
	// held is the mean time that a place is held; zero if unknown.
	held time.Duration
	// missRound and misses count the asks passed over in the current search.
	missRound uint64
	misses    int
	// reservedRound is the last search in which a place was kept for an ask that
	// needs more tokens than are free.
	reservedRound uint64
}

func newPool(name domain.PoolName) *pool {
	return &pool{name: name, holders: make(map[lifeOf]*holder)}
}

// holder returns the account of a member, a new one if need be.
func (p *pool) holder(member domain.Member, now time.Time) *holder {
	life := lifeOfMember(member)
	h, ok := p.holders[life]
	if !ok {
		h = newHolder(member)
		p.holders[life] = h
	}
	h.heard = now
	return h
}

// observeHold adds a time that a place was held to the mean.
func (p *pool) observeHold(d time.Duration) {
	if p.held == 0 {
		p.held = d
		return
	}
	p.held += time.Duration(holdWeight * float64(d-p.held))
}

// wait estimates the time until a place is free for an ask with so many others
// ahead of it: places are freed one in held/granted.
func (p *pool) wait(ahead int) time.Duration {
	if p.held == 0 || p.granted == 0 {
		return 0
	}
	return time.Duration(float64(p.held) * float64(ahead+1) / float64(p.granted))
}

// miss counts an ask passed over in the search.
func (p *pool) miss(round uint64) {
	if p.missRound != round {
		p.missRound, p.misses = round, 0
	}
	p.misses++
}

// missed returns the number of asks passed over in the search.
func (p *pool) missed(round uint64) int {
	if p.missRound != round {
		return 0
	}
	return p.misses
}
