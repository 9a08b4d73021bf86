package node

import (
	"context"

	"hawthornrill.example/hawthornrill/membership"
)

// Members is the node's view of its peers, and its own word to them.
type Members interface {
	membership.View
	// Run keeps the view up to date until the context ends.
	Run(ctx context.Context) error
	// Leave tells the peers that this node takes nothing new.
	Leave(ctx context.Context) error
	// AnnounceStopped tells the peers that this life has ended.
	AnnounceStopped(ctx context.Context) error
}
