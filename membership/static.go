package membership

import "hawthornrill.example/hawthornrill/domain"

// StaticView is a View of members that all stay alive, for programs whose nodes never change, and for tests.
type StaticView struct {
	snapshot Snapshot
}

var _ View = (*StaticView)(nil)

// NewStaticView returns the view that self has of the members, itself among them, sorted by node.
func NewStaticView(self domain.Member, members ...domain.Member) *StaticView {
	v := &StaticView{snapshot: Snapshot{Self: self}}
	for _, m := range members {
		v.snapshot.Peers = append(v.snapshot.Peers, Peer{Member: m})
	}
	return v
}

// Current implements View.
func (v *StaticView) Current() *Snapshot { return &v.snapshot }
