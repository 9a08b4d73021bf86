package brittle

import (
	"slices"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// shares are the members' equal shares of an endpoint's slots, which add up to the slots. Which of the members get one more differs
// from endpoint to endpoint.
type shares struct {
	each int
	more []domain.Member
}

func sharesOf(e *directory.Endpoint, members []domain.Member) shares {
	n := max(len(members), 1)
	return shares{e.Slots / n, rendezvous.Order(string(e.Incarnation()), members, memberName)[:min(e.Slots%n, len(members))]}
}

// of returns the share of a member.
func (s shares) of(node domain.NodeID) int {
	if slices.ContainsFunc(s.more, func(m domain.Member) bool { return m.Node == node }) {
		return s.each + 1
	}
	return s.each
}

func memberName(m domain.Member) string { return string(m.Node) }
