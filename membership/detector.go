package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// checkInterval is how often a node pings one unreachable peer of its data
	// centre, in case it is back.
	checkInterval = 4 * time.Second
	// checkLimit is how many pings of doubtful peers a tick may start.
	checkLimit = 4
	// doubtLimit bounds the doubtful peers that are remembered.
	doubtLimit = 256
)

// detector chooses whom to probe.
type detector struct {
	// round holds the nodes still to be probed in this round.
	round []domain.NodeID
	// probing are the nodes with a probe under way.
	probing map[domain.NodeID]bool
	// doubts are nodes said to be well by others and unreachable by this one.
	doubts []domain.NodeID
	// checked is when an unreachable peer was last pinged.
	checked time.Time
}

// next returns the next node to probe: each round visits all candidates once, in
// random order.
func (d *detector) next(t *table, self domain.NodeID, random *rand.Rand) (domain.Member, bool) {
	for refilled := false; ; {
		if len(d.round) == 0 {
			if refilled {
				return domain.Member{}, false
			}
			d.round, refilled = probeRound(t, self, random), true
			continue
		}
		node := d.round[0]
		d.round = d.round[1:]
		e := t.entries[node]
		if e != nil && probeable(t, e, self) && !d.probing[node] {
			return e.member(), true
		}
	}
}

// probeable reports whether a node is to be probed: it is another one of the data
// centre that is believed to answer.
func probeable(t *table, e *entry, self domain.NodeID) bool {
	return e.DataCentre == t.home && e.Node != self && e.status() <= StatusLeaving
}

func probeRound(t *table, self domain.NodeID, random *rand.Rand) []domain.NodeID {
	var round []domain.NodeID
	for _, node := range t.order {
		if probeable(t, t.entries[node], self) {
			round = append(round, node)
		}
	}
	random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	return round
}

// doubt notes that others say that a node is well which this one holds to be
// unreachable.
func (d *detector) doubt(node domain.NodeID) {
	if len(d.doubts) < doubtLimit && !slices.Contains(d.doubts, node) {
		d.doubts = append(d.doubts, node)
	}
}

// checks returns the peers to ping in case they are back: the doubtful ones, and
// from time to time any unreachable one of the data centre.
func (d *detector) checks(t *table, now time.Time, random *rand.Rand) []domain.Member {
	var members []domain.Member
	for len(d.doubts) > 0 && len(members) < checkLimit {
		if e := t.entries[d.doubts[0]]; e != nil && e.Health >= healthUnreachable {
			members = append(members, e.member())
		}
		d.doubts = d.doubts[1:]
	}
	if now.Sub(d.checked) < checkInterval {
		return members
	}
	d.checked = now
	if lost := t.unreachable(); len(lost) > 0 {
		members = append(members, lost[random.IntN(len(lost))])
	}
	return members
}

// unreachable returns the lives of the own data centre that do not answer and have
// not said farewell.
func (t *table) unreachable() []domain.Member {
	var members []domain.Member
	for _, node := range t.order {
		e := t.entries[node]
		if e.DataCentre == t.home && e.Health >= healthUnreachable && e.Intent != intentFarewell {
			members = append(members, e.member())
		}
	}
	return members
}

// relays returns up to count nodes to ping the target through: of the own data
// centre, and where there are too few, of others.
func (t *table) relays(target, self domain.NodeID, count int, up map[domain.DataCentre]bool, random *rand.Rand) []domain.Member {
	var near, far []domain.Member
	for _, node := range t.order {
		e := t.entries[node]
		switch {
		case node == target || node == self || t.statusOf(e.record, up) > StatusLeaving || e.Health == healthSuspect:
		case e.DataCentre == t.home:
			near = append(near, e.member())
		default:
			far = append(far, e.member())
		}
	}
	shuffle(near, random)
	shuffle(far, random)
	all := append(near, far...)
	return all[:min(count, len(all))]
}

func shuffle(members []domain.Member, random *rand.Rand) {
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
