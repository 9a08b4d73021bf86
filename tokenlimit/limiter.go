// Package tokenlimit holds organisations to their limits over all nodes without a message before a request.
//
// A limit is a rate and a burst; in any window of the configured length, rate x window + burst may be let through. Each
// node counts what it lets through and, as reports come in, what the others do. What is let through beyond the limit is
// at most what the other nodes let through within one report's time, for which the operators leave room.
//
// Guarantees under failure. A node that does not hear some of the others uses only the part of what is left of the limit
// that belongs to the nodes that it hears, so that the two sides of a partition together keep to the limit. A new life does not
// begin with an unused limit: until a peer tells what was used, all of it but a part of the burst counts as used, evenly over the
// window before.
package tokenlimit

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/routetable"
)

// forgetAfter is how long a peer's totals are kept without a report.
const forgetAfter = time.Minute

// Parts are what a Limiter works with.
type Parts struct {
	// Window is the time over which the operators measure the limits.
	Window time.Duration
	Clock  boottime.Clock
	// Fleet counts the nodes.
	Fleet   func() gossip.Fleet
	Metrics *metrics.Set
}

// Limiter admits requests under the organisations' limits. It is safe for concurrent use.
type Limiter struct {
	parts   Parts
	started boottime.Instant

	mu       sync.Mutex
	accounts map[domain.OrganisationID]*account
	peers    map[domain.NodeID]*peerTotals
	// apart is true while some nodes are not heard.
	apart bool

	admitted *metrics.Counter
	refused  *metrics.Counter
}

// peerTotals are a peer's totals as last reported.
type peerTotals struct {
	life    uint64
	heardAt boottime.Instant
	spent   map[domain.OrganisationID]float64
}

// New returns a limiter.
func New(parts Parts) *Limiter {
	return &Limiter{
		parts:    parts,
		started:  parts.Clock(),
		accounts: make(map[domain.OrganisationID]*account),
		peers:    make(map[domain.NodeID]*peerTotals),
		admitted: parts.Metrics.NewCounter("hawthornrill_limit_admitted_total"),
		refused:  parts.Metrics.NewCounter("hawthornrill_limit_refused_total"),
	}
}

// Admit counts a request of the cost in. If the limit does not allow it, it returns false and the time until it may.
func (l *Limiter) Admit(o *routetable.Organisation, cost float64) (ok bool, retry time.Duration) {
	if o.Rate <= 0 {
		return true, 0
	}
	part := part(l.parts.Fleet())
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.separate(part < 1)
	a := l.account(o.ID)
	a.refresh(now, o, l.parts.Window)
	if excess := a.excess(now, l.parts.Window, cost, part); excess > 0 {
		l.refused.Inc()
		return false, time.Duration(excess / (a.rate * part) * float64(time.Second))
	}
	a.use(cost, l.apart)
	a.spent += cost
	l.admitted.Inc()
	return true, 0
}

// separate notes whether some nodes are not heard. The lock is held.
func (l *Limiter) separate(apart bool) {
	if l.apart && !apart {
		for _, a := range l.accounts {
			a.apart = window{}
		}
	}
	l.apart = apart
}

// part is the part of the limit that the nodes heard may use.
func part(fleet gossip.Fleet) float64 {
	if fleet.Known <= 0 {
		return 1
	}
	return float64(fleet.Heard) / float64(fleet.Known)
}

// Return takes back the cost of a request that has not run.
func (l *Limiter) Return(o *routetable.Organisation, cost float64) {
	if o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[o.ID]; ok {
		a.advance(l.parts.Clock(), l.parts.Window)
		a.use(-cost, l.apart)
		a.spent -= cost
	}
}

// account returns the organisation's account, a new one as if its limit had been used up before this life.
func (l *Limiter) account(id domain.OrganisationID) *account {
	a, ok := l.accounts[id]
	if !ok {
		a = &account{since: l.started, filledAt: l.started}
		l.accounts[id] = a
	}
	return a
}

// Prepare makes accounts for the organisations of a configuration, so that what peers tell of them is kept before their
// first request here.
func (l *Limiter) Prepare(organisations []routetable.Organisation) {
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range organisations {
		o := &organisations[i]
		if o.Rate <= 0 || l.accounts[o.ID] != nil {
			continue
		}
		a := l.account(o.ID)
		a.refresh(now, o, l.parts.Window)
		a.before = a.limit - startOf(o, l.parts.Window)
	}
}

// Fill adds this node's totals to a report.
func (l *Limiter) Fill(report *gossip.Report) {
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		a.advance(now, l.parts.Window)
		used := a.total(now, l.parts.Window)
		if a.spent == 0 && used == 0 {
			continue
		}
		// Whole numbers take three to five bytes each instead of nine. What a new life takes over is rounded to the safe
		// side; the total can't drift, since the receiver counts by its difference from the last one told.
		report.Spent = append(report.Spent, gossip.LimitUsage{
			Organisation: id, Total: math.Round(a.spent), Used: math.Ceil(used), Level: math.Floor(a.level),
		})
	}
}

// Heard counts what a peer has let through since its last report.
func (l *Limiter) Heard(report *gossip.Report) {
	apart := part(l.parts.Fleet()) < 1
	now := l.parts.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.separate(apart)
	p, known := l.peers[report.From]
	if !known || p.life != report.Life {
		p = &peerTotals{life: report.Life, spent: make(map[domain.OrganisationID]float64)}
		l.peers[report.From] = p
	}
	p.heardAt = now
	told := make(map[domain.OrganisationID]gossip.LimitUsage, len(report.Spent))
	for _, s := range report.Spent {
		told[s.Organisation] = s
		more := s.Total - p.spent[s.Organisation]
		p.spent[s.Organisation] = s.Total
		a, ok := l.accounts[s.Organisation]
		// What was used before this life heard of anybody is covered by what is adopted.
		if ok && (known || a.adopted) {
			a.advance(now, l.parts.Window)
			a.use(more, l.apart)
		}
	}
	if report.Version > 0 {
		l.adopt(now, told)
	}
	l.forget(now)
}

// adopt takes over what a peer knows to have been used, in place of what was assumed at the start of this life. A life that
// has been alone for a window assumes nothing any more: it was cut off from the peer, whose use comes on top of its own.
func (l *Limiter) adopt(now boottime.Instant, told map[domain.OrganisationID]gossip.LimitUsage) {
	alone := now.Sub(l.started) >= l.parts.Window
	for id, a := range l.accounts {
		if a.adopted {
			continue
		}
		a.adopted = true
		a.advance(now, l.parts.Window)
		if alone {
			a.use(told[id].Used, l.apart)
		} else {
			a.before, a.since = min(a.total(now, l.parts.Window), max(told[id].Used-a.used.sum, 0)), now
		}
		a.level = a.depth
		if s, ok := told[id]; ok {
			a.level = min(s.Level, a.depth)
		}
	}
}

func (l *Limiter) forget(now boottime.Instant) {
	for id, p := range l.peers {
		if now.Sub(p.heardAt) > forgetAfter {
			delete(l.peers, id)
		}
	}
}
