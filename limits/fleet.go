package limits

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// fleet is the set of live nodes, and the one before its last change. It is
// immutable.
type fleet struct {
	view *membership.Snapshot
	live []domain.Member
	// previous are the nodes before the changes since changedAt.
	previous  []domain.Member
	changedAt time.Time
}

// next returns the fleet as the view has it. Changes that follow each other within
// settle count as one.
func (f *fleet) next(now time.Time, view *membership.Snapshot, settle time.Duration) *fleet {
	live := liveMembers(view)
	if slices.EqualFunc(f.live, live, domain.Member.SameIncarnation) {
		return &fleet{view: view, live: f.live, previous: f.previous, changedAt: f.changedAt}
	}
	previous := f.live
	if now.Sub(f.changedAt) < settle {
		previous = f.previous
	}
	return &fleet{view: view, live: live, previous: previous, changedAt: now}
}

// liveMembers returns the nodes that own organisations: those that answer, or this
// one if there are none.
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
func (f *fleet) owner(organisation domain.OrganisationID) (domain.Member, bool) {
	return first(f.live, organisation)
}

// settling reports whether another node was the organisation's owner until less
// than settle ago.
func (f *fleet) settling(now time.Time, organisation domain.OrganisationID, self domain.NodeID, settle time.Duration) bool {
	if now.Sub(f.changedAt) >= settle {
		return false
	}
	before, ok := first(f.previous, organisation)
	return !ok || before.Node != self
}

// gone reports whether a node's life has ended: it said so, or a later life is
// there.
func (f *fleet) gone(node domain.NodeID, incarnation domain.Incarnation) bool {
	if f.view == nil {
		return false
	}
	for _, p := range f.view.Peers {
		if p.Node == node {
			return p.Incarnation > incarnation || p.Incarnation == incarnation && p.Status == membership.StatusGone
		}
	}
	return false
}

// first returns the first of the members in the organisation's rendezvous order.
func first(members []domain.Member, organisation domain.OrganisationID) (domain.Member, bool) {
	index := rendezvous.First(string(organisation), members, func(m domain.Member) string { return string(m.Node) })
	if index < 0 {
		return domain.Member{}, false
	}
	return members[index], true
}
