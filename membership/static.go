package membership

import "hawthornrill.example/hawthornrill/domain"

// StaticView is a View that does not change, for programs whose nodes never do, and for tests.
type StaticView struct {
	snapshot *Snapshot
}

var _ View = (*StaticView)(nil)

// NewStaticView returns a view of one snapshot, which must not be changed afterwards.
func NewStaticView(s *Snapshot) *StaticView { return &StaticView{s} }

// Current implements View.
func (v *StaticView) Current() *Snapshot { return v.snapshot }

// AllAlive returns the snapshot that self has of the members, itself among them, sorted by node and all alive.
func AllAlive(self domain.Member, members ...domain.Member) *Snapshot {
	s := &Snapshot{Self: self}
	for _, m := range members {
		s.Peers = append(s.Peers, Peer{Member: m})
	}
	return s
}
