package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// recheckInterval is how often a node pings one unreachable peer of its data
	// centre to detect that it has recovered.
	recheckInterval = 4 * time.Second
	// maxRecheckStart bounds the random number at which a node begins to count its
	// rechecks, so that the nodes don't all ping the same peer.
	maxRecheckStart = 1 << 16
	// recheckLimit is the maximum number of pings to disputed peers per tick.
	recheckLimit = 4
	// disputedLimit bounds the queue of disputed peers.
	disputedLimit = 256
)

// monitors is the number of nodes that probe each node regularly: its predecessors
// in the ring. Each node spends every second probe on one of those that it monitors.
const monitors = 2

// detector selects the peers to probe.
type detector struct {
	// probes counts the probes.
	probes int
	// round holds the nodes still to be probed in this round.
	round []domain.NodeID
	// probing holds the nodes with a probe in progress.
	probing map[domain.NodeID]bool
	// disputed holds nodes that others report as healthy and this node as
	// unreachable.
	disputed []domain.NodeID
	// rechecks counts the pings to unreachable peers.
	rechecks int
	// lastRecheck is when an unreachable peer was last pinged.
	lastRecheck time.Time
}

// next returns the next node to probe: in turn one that this node monitors, and one
// of a round that visits all candidates once, in random order. While a probe is not
// answered, it returns the next successors in the ring, so that neighbours that have
// failed together are found one tick after the other.
func (d *detector) next(t *table, ring ring, self domain.NodeID, random *rand.Rand) (domain.Member, bool) {
	d.probes++
	if len(d.probing) > 0 {
		if member, ok := d.successor(t, ring, self, 0); ok {
			return member, true
		}
	}
	if d.probes%2 == 0 {
		if member, ok := d.successor(t, ring, self, d.probes/2%monitors); ok {
			return member, true
		}
	}
	return d.nextOfRound(t, self, random)
}

// successor returns the next node in the ring that is not being probed, after
// skipping some.
func (d *detector) successor(t *table, ring ring, self domain.NodeID, skip int) (domain.Member, bool) {
	for distance := 1; distance < len(ring); distance++ {
		node, ok := ring.successor(self, distance)
		if !ok || d.probing[node] || !probeable(t, t.entries[node], self) {
			continue
		}
		if skip == 0 {
			return t.entries[node].member(), true
		}
		skip--
	}
	return domain.Member{}, false
}

func (d *detector) nextOfRound(t *table, self domain.NodeID, random *rand.Rand) (domain.Member, bool) {
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

// probeable reports whether a node is a probe target: another node of the local
// data centre that is alive or leaving.
func probeable(t *table, e *entry, self domain.NodeID) bool {
	return e.DataCentre == t.localDC && e.Node != self && e.status() <= StatusLeaving
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

// addDisputed queues a node that others report as healthy and this node holds to
// be unreachable.
func (d *detector) addDisputed(node domain.NodeID) {
	if len(d.disputed) < disputedLimit && !slices.Contains(d.disputed, node) {
		d.disputed = append(d.disputed, node)
	}
}

// recheckTargets returns the peers to ping in case they have recovered: disputed
// ones, and at every recheckInterval one unreachable peer of the data centre, in
// turn.
func (d *detector) recheckTargets(t *table, now time.Time) []domain.Member {
	var members []domain.Member
	for len(d.disputed) > 0 && len(members) < recheckLimit {
		if e := t.entries[d.disputed[0]]; e != nil && e.Health >= healthUnreachable {
			members = append(members, e.member())
		}
		d.disputed = d.disputed[1:]
	}
	if now.Sub(d.lastRecheck) < recheckInterval {
		return members
	}
	d.lastRecheck = now
	if unreachable := t.unreachable(); len(unreachable) > 0 {
		members = append(members, unreachable[d.rechecks%len(unreachable)])
		d.rechecks++
	}
	return members
}

// unreachable returns the members of the local data centre that do not answer and
// have not announced that they stopped.
func (t *table) unreachable() []domain.Member {
	var members []domain.Member
	for _, node := range t.order {
		e := t.entries[node]
		if e.DataCentre == t.localDC && e.Health >= healthUnreachable && e.Intent != intentStopped {
			members = append(members, e.member())
		}
	}
	return members
}

// randomPeers returns up to count random peers other than the target that are
// neither suspect nor unreachable: peers of the local data centre, and where
// there are too few, of others.
func (t *table) randomPeers(target, self domain.NodeID, count int, reachable map[domain.DataCentre]bool, random *rand.Rand) []domain.Member {
	var local, remote []domain.Member
	for _, node := range t.order {
		e := t.entries[node]
		switch {
		case node == target || node == self || t.statusOf(e.record, reachable) > StatusLeaving || e.Health == healthSuspect:
		case e.DataCentre == t.localDC:
			local = append(local, e.member())
		default:
			remote = append(remote, e.member())
		}
	}
	shuffle(local, random)
	shuffle(remote, random)
	all := append(local, remote...)
	return all[:min(count, len(all))]
}

func shuffle(members []domain.Member, random *rand.Rand) {
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
