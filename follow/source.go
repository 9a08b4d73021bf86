package follow

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// Revision orders the store's changes.
type Revision uint64

// ErrCompacted means that the store no longer has the changes after the revision: the state must be loaded again.
var ErrCompacted = errors.New("follow: history is no longer available")

// State is everything that the store holds for a node, at a revision or later.
type State struct {
	Revision  Revision
	Table     *routetable.Table
	Endpoints []*directory.Endpoint
	Peers     []Peer
	// Rejected are entries that could not be read.
	Rejected []error
}

// Change is what happened up to a revision.
type Change struct {
	Revision Revision
	// Table is the newest configuration, nil if it did not change.
	Table *routetable.Table
	// Endpoints were listed or changed, Removed are listed no more.
	Endpoints []*directory.Endpoint
	Removed   []domain.EndpointID
	// Peers were listed, RemovedPeers are listed no more.
	Peers        []Peer
	RemovedPeers []domain.NodeID
	// Rejected are entries that could not be read; the last good ones stay in force.
	Rejected []error
}

// Peer is a node and where the others reach it.
type Peer struct {
	Node       domain.NodeID
	DataCentre domain.DataCentre
	// Address is "IP:port".
	Address string
}

// Source reads the store. Both calls are linearizable: an answer covers everything that the store had accepted when the
// call was sent.
type Source interface {
	// Load reads everything.
	Load(ctx context.Context) (State, error)
	// Watch waits until something changes after the revision, at most for wait, and returns an empty change if nothing
	// did. It returns ErrCompacted if the history is gone.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Change, error)
}
