package brittle

import (
	"math"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/rendezvous"
)

const (
	// lentFor is how long a borrower relies on a statement of the lender after receiving it.
	lentFor = 2 * time.Second
	// takeBackAfter is how long a lender leaves alone what it no longer states: lentFor, the age of a computed share, and the time
	// for which a statement may be under way.
	takeBackAfter = lentFor + shareInterval + time.Second
	// allQuarters is the whole of a node's share, maxQuarters what it lends at most: it serves its next callers from the rest.
	allQuarters = 4
	maxQuarters = 3
	// headroom is the multiple of its mean demand that a node needs, since requests don't arrive evenly.
	headroom = 2
)

// lending is what this node lends of its shares of a service.
type lending struct {
	to domain.NodeID
	// quarters are left alone until takeBackAfter after statedAt, when they were last stated.
	quarters int
	statedAt boottime.Instant
	// ended is true if they are no longer stated.
	ended bool
}

// unusable returns the quarters of its share that the lender must leave alone.
func (l *lending) unusable(now boottime.Instant) int {
	if l == nil || now.Sub(l.statedAt) >= takeBackAfter {
		return 0
	}
	return l.quarters
}

// quarterOf is the quarter of a service's endpoints to which one belongs, 0 to 3. All nodes divide them alike.
func quarterOf(e *directory.Endpoint) int {
	return int(rendezvous.Score(string(e.Incarnation()), "quarter") % allQuarters)
}

// available is what this node may use of an endpoint's slots: its own share unless it is lent, and what peers lend. The lock is held.
func (t *Tracker) available(now boottime.Instant, e *directory.Endpoint) int {
	all, quarter := sharesOf(e, t.config.Members()), quarterOf(e)
	available := 0
	if quarter >= t.lending[e.Service].unusable(now) {
		available = all.of(t.config.Self)
	}
	for node, peer := range t.peers {
		if quarter < peer.lent[e.Service] && peer.current(now) {
			available += all.of(node)
		}
	}
	return available
}

// lend decides what this node lends of its shares of the service, given the places that its callers need, and returns what its
// reports state; false if it lends nothing. The lock is held.
func (t *Tracker) lend(now boottime.Instant, service string, places float64) (gossip.LentShare, bool) {
	share := t.meanShare(service)
	spare := min(int(math.Floor(allQuarters*(1-headroom*places/share))), maxQuarters)
	l := t.lending[service]
	switch {
	case l.unusable(now) == 0:
		delete(t.lending, service)
		to, ok := t.neediest(now, service, share)
		if spare < 1 || !ok {
			return gossip.LentShare{}, false
		}
		l = &lending{to: to, quarters: spare, statedAt: now}
		t.lending[service] = l
		t.logLending(service, l, places, share)
	case l.ended:
		return gossip.LentShare{}, false
	case spare < l.quarters-1 || !t.needsMore(now, l.to, service, share):
		// Spare may vary by a quarter.
		l.ended = true
		t.logLending(service, l, places, share)
		return gossip.LentShare{}, false
	}
	l.quarters, l.statedAt = max(l.quarters, spare), now
	return gossip.LentShare{Service: service, To: l.to, Quarters: l.quarters}, true
}

// meanShare is the mean number of slots of the service that a node has, in slots.
func (t *Tracker) meanShare(service string) float64 {
	slots := 0
	for _, e := range t.config.Directory.Current().Service(service) {
		slots += e.Slots
	}
	return float64(max(slots, 1)) / float64(max(len(t.config.Members()), 1))
}

// needsMore reports whether the peer's callers need more than its own share. The lock is held.
func (t *Tracker) needsMore(now boottime.Instant, peer domain.NodeID, service string, share float64) bool {
	p := t.peers[peer]
	return p.current(now) && headroom*p.places[service] > share
}

// neediest returns the peer to which this node lends: one of those that need at least half as much as the one that needs most, each
// chosen by some of the nodes. The lock is held.
func (t *Tracker) neediest(now boottime.Instant, service string, share float64) (domain.NodeID, bool) {
	var most float64
	for node, p := range t.peers {
		if t.needsMore(now, node, service, share) {
			most = max(most, p.places[service])
		}
	}
	var needy []domain.NodeID
	for node, p := range t.peers {
		if t.needsMore(now, node, service, share) && 2*p.places[service] >= most {
			needy = append(needy, node)
		}
	}
	at := rendezvous.First(service+" "+string(t.config.Self), needy, func(n domain.NodeID) string { return string(n) })
	if at < 0 {
		return "", false
	}
	return needy[at], true
}

func (t *Tracker) logLending(service string, l *lending, places, share float64) {
	t.config.Log.Info().Str("service", service).Str("to", string(l.to)).Int("quarters", l.quarters).Bool("ended", l.ended).
		Float64("places_needed", places).Float64("share", share).Msg("lends its share of brittle endpoints' slots")
}

// logBorrowing logs what a peer lends to this node if it has changed.
func (t *Tracker) logBorrowing(from domain.NodeID, before, next *peerState) {
	for service := range *t.services.Load() {
		was := 0
		if before != nil {
			was = before.lent[service]
		}
		if quarters := next.lent[service]; quarters != was {
			t.config.Log.Info().Str("service", service).Str("from", string(from)).Int("quarters", quarters).Int("quarters_before", was).
				Msg("borrows a share of brittle endpoints' slots")
		}
	}
}
