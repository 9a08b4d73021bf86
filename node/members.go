package node

import (
	"context"

	"hawthornrill.example/hawthornrill/membership"
)

// Members is the node's view of its peers, and announces its own state to them.
type Members interface {
	membership.View
	// Run keeps the view up to date until ctx is done.
	Run(ctx context.Context) error
	// Leave announces to the peers that this node accepts no new work.
	Leave(ctx context.Context) error
	// AnnounceStopped announces to the peers that this incarnation has stopped.
	AnnounceStopped(ctx context.Context) error
}
