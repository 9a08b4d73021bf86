package virtual

import (
	"context"
	"slices"
	"strings"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// staticMembers is a membership view in which all members are alive.
type staticMembers struct{ *membership.StaticView }

// Run implements node.Members.
func (m *staticMembers) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

// Leave implements node.Members.
func (m *staticMembers) Leave(context.Context) error { return nil }

// AnnounceStopped implements node.Members.
func (m *staticMembers) AnnounceStopped(context.Context) error { return nil }

func peersOf(all []domain.Member) []membership.Peer {
	var peers []membership.Peer
	for _, m := range all {
		peers = append(peers, membership.Peer{Member: m})
	}
	slices.SortFunc(peers, func(a, b membership.Peer) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return peers
}
