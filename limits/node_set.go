package limits

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// nodeSet holds the live nodes and those before the last change. It is immutable.
type nodeSet struct {
	view *membership.Snapshot
	live []domain.Member
	// previous holds the live nodes before the changes since changedAt.
	previous  []domain.Member
	changedAt time.Time
}

// update returns the node set for a view. Changes within settleTime of each other count
// as one.
func (n *nodeSet) update(now time.Time, view *membership.Snapshot, settleTime time.Duration) *nodeSet {
	live := liveMembers(view)
	if slices.EqualFunc(n.live, live, domain.Member.SameIncarnation) {
		return &nodeSet{view: view, live: n.live, previous: n.previous, changedAt: n.changedAt}
	}
	previous := n.live
	if now.Sub(n.changedAt) < settleTime {
		previous = n.previous
	}
	return &nodeSet{view: view, live: live, previous: previous, changedAt: now}
}

// liveMembers returns the nodes that may own organisations: those that are alive, or
// this node if there are none.
func liveMembers(view *membership.Snapshot) []domain.Member {
	if view == nil {
		return nil
	}
	var live []domain.Member
	for _, p := range view.Peers {
		if p.Status == membership.StatusAlive {
			live = append(live, p.Member)
		}
	}
	if len(live) == 0 {
		live = append(live, view.Self)
	}
	return live
}

// owner returns the organisation's owner, or false if no node is live.
func (n *nodeSet) owner(organisation domain.OrganisationID) (domain.Member, bool) {
	return firstInOrder(n.live, organisation)
}

// settling reports whether another node owned the organisation until less than settleTime
// ago.
func (n *nodeSet) settling(now time.Time, organisation domain.OrganisationID, self domain.NodeID, settleTime time.Duration) bool {
	if now.Sub(n.changedAt) >= settleTime {
		return false
	}
	previousOwner, ok := firstInOrder(n.previous, organisation)
	return !ok || previousOwner.Node != self
}

// incarnationEnded reports whether a node's incarnation has ended: it announced its
// departure, or a later incarnation is known.
func (n *nodeSet) incarnationEnded(node domain.NodeID, incarnation domain.Incarnation) bool {
	if n.view == nil {
		return false
	}
	for _, p := range n.view.Peers {
		if p.Node == node {
			return p.Incarnation > incarnation || p.Incarnation == incarnation && p.Status == membership.StatusGone
		}
	}
	return false
}

// firstInOrder returns the first member in the organisation's rendezvous order.
func firstInOrder(members []domain.Member, organisation domain.OrganisationID) (domain.Member, bool) {
	index := rendezvous.First(string(organisation), members, func(m domain.Member) string { return string(m.Node) })
	if index < 0 {
		return domain.Member{}, false
	}
	return members[index], true
}
