package membership

import "hawthornrill.example/hawthornrill/domain"

// StaticView is a View that does not change, for programs with a fixed set of
// nodes and for tests.
type StaticView struct {
	snapshot *Snapshot
}

var _ View = (*StaticView)(nil)

// NewStaticView returns a view of one snapshot, which must not be modified
// afterwards.
func NewStaticView(s *Snapshot) *StaticView { return &StaticView{s} }

// Current implements View.
func (v *StaticView) Current() *Snapshot { return v.snapshot }

// AllAlive returns self's snapshot of the members, which include self and are
// sorted by node, with all of them alive.
func AllAlive(self domain.Member, members ...domain.Member) *Snapshot {
	s := &Snapshot{Self: self}
	for _, m := range members {
		s.Peers = append(s.Peers, Peer{Member: m})
	}
	return s
}
