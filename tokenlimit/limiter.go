// Package tokenlimit holds organisations to their limits over all nodes without a message before a request.
//
// Each node keeps a copy of each organisation's bucket, which it debits at once by what it lets through and, as reports
// come in, by what the others let through. What is let through beyond the limit is at most what all nodes together get
// within one report's time.
//
// Guarantees under failure. A node that does not hear some of the others fills its bucket only by the part of the nodes
// that it hears, so that the two sides of a partition together keep to the limit. A new life does not begin with a
// full bucket: it has half of an equal part until it hears from a peer, and then no more than that peer has.
package tokenlimit

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/routetable"
)

// startPart is the part of an equal share of the burst with which a new life begins. If all nodes restart at once they
// have half a burst together, less than the tenth of nine seconds' rate that the operators tolerate on top.
const startPart = 0.5

// forgetAfter is how long a peer's totals are kept without a report.
const forgetAfter = time.Minute

// Limiter admits requests under the organisations' limits. It is safe for concurrent use.
type Limiter struct {
	clock boottime.Clock
	fleet func() gossip.Fleet
	// started is when this life began: a bucket fills from then on, before its first request too.
	started boottime.Instant

	mu       sync.Mutex
	accounts map[domain.OrganisationID]*account
	peers    map[domain.NodeID]*peerTotals

	admitted *metrics.Counter
	refused  *metrics.Counter
}

// account is one organisation's bucket.
type account struct {
	level, rate, burst float64
	at                 boottime.Instant
	// spent is what this life has let through, less what it took back.
	spent float64
	// adopted is true once the level was compared with a peer's.
	adopted bool
}

// peerTotals are a peer's totals as last reported.
type peerTotals struct {
	life    uint64
	heardAt boottime.Instant
	spent   map[domain.OrganisationID]float64
}

// New returns a limiter. Fleet counts the nodes.
func New(clock boottime.Clock, fleet func() gossip.Fleet, set *metrics.Set) *Limiter {
	return &Limiter{
		clock:    clock,
		fleet:    fleet,
		started:  clock(),
		accounts: make(map[domain.OrganisationID]*account),
		peers:    make(map[domain.NodeID]*peerTotals),
		admitted: set.NewCounter("hawthornrill_limit_admitted_total"),
		refused:  set.NewCounter("hawthornrill_limit_refused_total"),
	}
}

// Admit counts a request of the cost in. If the limit does not allow it, it returns false and the time until it may.
func (l *Limiter) Admit(o *routetable.Organisation, cost float64) (ok bool, retry time.Duration) {
	if o.Rate <= 0 {
		return true, 0
	}
	fleet := l.fleet()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(o, fleet)
	rate := a.fill(l.clock(), fleet)
	// A request larger than the burst is let through by a full bucket.
	needed := min(cost, a.burst)
	if a.level < needed {
		l.refused.Inc()
		return false, time.Duration((needed - a.level) / rate * float64(time.Second))
	}
	a.level -= cost
	a.spent += cost
	l.admitted.Inc()
	return true, 0
}

// Return takes back the cost of a request that has not run.
func (l *Limiter) Return(o *routetable.Organisation, cost float64) {
	if o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[o.ID]; ok {
		a.level = min(a.level+cost, a.burst)
		a.spent -= cost
	}
}

func (l *Limiter) account(o *routetable.Organisation, fleet gossip.Fleet) *account {
	a, ok := l.accounts[o.ID]
	if !ok {
		a = &account{at: l.started, level: o.Burst * startPart / float64(max(fleet.Known, 1))}
		l.accounts[o.ID] = a
	}
	a.rate, a.burst = o.Rate, o.Burst
	a.level = min(a.level, a.burst)
	return a
}

// fill brings the bucket to the instant and returns the rate a second at which it fills.
func (a *account) fill(now boottime.Instant, fleet gossip.Fleet) float64 {
	rate := a.rate
	if fleet.Heard < fleet.Known {
		rate *= float64(fleet.Heard) / float64(fleet.Known)
	}
	a.level = min(a.level+rate*now.Sub(a.at).Seconds(), a.burst)
	a.at = now
	return rate
}

// Fill adds this node's totals to a report.
func (l *Limiter) Fill(report *gossip.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		report.Spent = append(report.Spent, gossip.Spent{Organisation: id, Total: a.spent, Level: a.level})
	}
}

// Heard debits what a peer has let through since its last report.
func (l *Limiter) Heard(report *gossip.Report) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	p, known := l.peers[report.From]
	if !known || p.life != report.Life {
		p = &peerTotals{life: report.Life, spent: make(map[domain.OrganisationID]float64)}
		l.peers[report.From] = p
	}
	p.heardAt = now
	for _, s := range report.Spent {
		before, counted := p.spent[s.Organisation]
		p.spent[s.Organisation] = s.Total
		a, ok := l.accounts[s.Organisation]
		if !ok {
			continue
		}
		if counted {
			a.level = min(max(a.level-(s.Total-before), -a.burst), a.burst)
		}
		if !a.adopted {
			a.adopted = true
			a.level = min(a.level, s.Level)
		}
	}
	l.forget(now)
}

func (l *Limiter) forget(now boottime.Instant) {
	for id, p := range l.peers {
		if now.Sub(p.heardAt) > forgetAfter {
			delete(l.peers, id)
		}
	}
}
