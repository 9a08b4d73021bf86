// Package tokenlimit enforces organisations' limits over all nodes without a message before a request.
//
// A limit is a rate and a burst; in any window of the configured length, rate x window + burst may be admitted. Each node counts
// what it admits and, from reports, what its peers admit. The limit is exceeded by at most what the peers admit between two
// reports, for which the operators leave room.
//
// Guarantees under failure. A node that receives no reports from some of its peers uses only the reachable nodes' share of the
// remaining limit, so that both sides of a partition together stay within the limit. A restarted node does not start with an unused
// limit: until a peer reports the use, everything but part of the burst counts as used, spread evenly over the window before.
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

// peerExpiry is how long a peer's totals are kept after its last report.
const peerExpiry = time.Minute

// Config is a Limiter's configuration and dependencies.
type Config struct {
	// Window is the time over which the operators measure the limits.
	Window time.Duration
	Clock  boottime.Clock
	// Fleet returns the number of nodes known and the number of those whose reports arrive.
	Fleet   func() gossip.Fleet
	Metrics *metrics.Set
}

// Limiter admits requests under the organisations' limits. It is safe for concurrent use.
type Limiter struct {
	config  Config
	started boottime.Instant

	mu       sync.Mutex
	accounts map[domain.OrganisationID]*account
	peers    map[domain.NodeID]*peerTotals
	// partitioned is true while reports from some nodes are missing.
	partitioned bool

	admitted *metrics.Counter
	refused  *metrics.Counter
}

// peerTotals are the totals that a peer last reported.
type peerTotals struct {
	incarnation uint64
	reportedAt  boottime.Instant
	admitted    map[domain.OrganisationID]float64
}

// New returns a limiter and registers its metrics.
func New(config Config) *Limiter {
	return &Limiter{
		config:   config,
		started:  config.Clock(),
		accounts: make(map[domain.OrganisationID]*account),
		peers:    make(map[domain.NodeID]*peerTotals),
		admitted: config.Metrics.NewCounter("hawthornrill_limit_admitted_total"),
		refused:  config.Metrics.NewCounter("hawthornrill_limit_refused_total"),
	}
}

// Admit charges a request of the given cost. If the limit does not allow it, Admit charges nothing and returns false and the time
// until the limit may allow it.
func (l *Limiter) Admit(o *routetable.Organisation, cost float64) (ok bool, retry time.Duration) {
	if o.Rate <= 0 {
		return true, 0
	}
	fraction := reachableFraction(l.config.Fleet())
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setPartitioned(fraction < 1)
	a := l.account(o.ID)
	a.update(now, o, l.config.Window)
	if excess := a.excess(now, l.config.Window, cost, fraction); excess > 0 {
		l.refused.Inc()
		return false, time.Duration(excess / (a.rate * fraction) * float64(time.Second))
	}
	a.use(cost, l.partitioned)
	a.totalAdmitted += cost
	l.admitted.Inc()
	return true, 0
}

// setPartitioned records whether reports from some nodes are missing. The lock is held.
func (l *Limiter) setPartitioned(partitioned bool) {
	if l.partitioned && !partitioned {
		for _, a := range l.accounts {
			a.usedPartitioned = window{}
		}
	}
	l.partitioned = partitioned
}

// reachableFraction is the fraction of the limit that the reachable nodes may use.
func reachableFraction(fleet gossip.Fleet) float64 {
	if fleet.Known <= 0 {
		return 1
	}
	return float64(fleet.Heard) / float64(fleet.Known)
}

// Refund takes back the cost of a request that has not run.
func (l *Limiter) Refund(o *routetable.Organisation, cost float64) {
	if o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[o.ID]; ok {
		a.advance(l.config.Clock(), l.config.Window)
		a.use(-cost, l.partitioned)
		a.totalAdmitted -= cost
	}
}

// account returns the organisation's account. The bucket of a new one has been filling since this process started.
func (l *Limiter) account(id domain.OrganisationID) *account {
	a, ok := l.accounts[id]
	if !ok {
		a = &account{assumedAt: l.started, refilledAt: l.started}
		l.accounts[id] = a
	}
	return a
}

// AddAccounts creates accounts for the organisations of a configuration, so that use reported by peers is recorded before the
// organisation's first request to this node.
func (l *Limiter) AddAccounts(organisations []routetable.Organisation) {
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range organisations {
		o := &organisations[i]
		if o.Rate <= 0 || l.accounts[o.ID] != nil {
			continue
		}
		a := l.account(o.ID)
		a.update(now, o, l.config.Window)
		a.assumedUse = a.limit - initialAvailable(o, l.config.Window)
	}
}

// AddToReport adds this node's totals to a report.
func (l *Limiter) AddToReport(report *gossip.Report) {
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		a.advance(now, l.config.Window)
		used := a.usedInWindow(now, l.config.Window)
		if a.totalAdmitted == 0 && used == 0 {
			continue
		}
		// Whole numbers take three to five bytes each instead of nine. The values that a restarted node adopts are rounded
		// to the safe side; the total can't drift, since the receiver uses its difference from the last one reported.
		report.Spent = append(report.Spent, gossip.LimitUsage{
			Organisation: id, Total: math.Round(a.totalAdmitted), Used: math.Ceil(used), Level: math.Floor(a.available),
		})
	}
}

// ApplyReport counts what a peer has admitted since its last report.
func (l *Limiter) ApplyReport(report *gossip.Report) {
	partitioned := reachableFraction(l.config.Fleet()) < 1
	now := l.config.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setPartitioned(partitioned)
	p, known := l.peers[report.From]
	if !known || p.incarnation != report.Life {
		p = &peerTotals{incarnation: report.Life, admitted: make(map[domain.OrganisationID]float64)}
		l.peers[report.From] = p
	}
	p.reportedAt = now
	reported := make(map[domain.OrganisationID]gossip.LimitUsage, len(report.Spent))
	for _, s := range report.Spent {
		reported[s.Organisation] = s
		more := s.Total - p.admitted[s.Organisation]
		p.admitted[s.Organisation] = s.Total
		a, ok := l.accounts[s.Organisation]
		// Use from before this process received a peer's first report is part of what it adopts.
		if ok && (known || a.adopted) {
			a.advance(now, l.config.Window)
			a.use(more, l.partitioned)
		}
	}
	if report.Version > 0 {
		l.adopt(now, reported)
	}
	l.expirePeers(now)
}

// adopt replaces the use assumed at the start of this process by the use that a peer reports. If the node has been alone for a
// window, nothing is assumed any more: it was partitioned from the peer, whose use comes on top of its own.
func (l *Limiter) adopt(now boottime.Instant, reported map[domain.OrganisationID]gossip.LimitUsage) {
	alone := now.Sub(l.started) >= l.config.Window
	for id, a := range l.accounts {
		if a.adopted {
			continue
		}
		a.adopted = true
		a.advance(now, l.config.Window)
		if alone {
			a.use(reported[id].Used, l.partitioned)
		} else {
			a.assumedUse, a.assumedAt = min(a.usedInWindow(now, l.config.Window), max(reported[id].Used-a.used.sum, 0)), now
		}
		a.available = a.depth
		if s, ok := reported[id]; ok {
			a.available = min(s.Level, a.depth)
		}
	}
}

func (l *Limiter) expirePeers(now boottime.Instant) {
	for id, p := range l.peers {
		if now.Sub(p.reportedAt) > peerExpiry {
			delete(l.peers, id)
		}
	}
}
