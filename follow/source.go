package follow

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// Revision is a revision of the store. Revisions order its changes.
type Revision uint64

// Topic is a part of the store that is followed separately.
type Topic uint8

const (
	// Configuration is the operators' configuration.
	Configuration Topic = iota
	// Endpoints is the list of endpoints.
	Endpoints
	topics
)

var topicNames = [...]string{Configuration: "configuration", Endpoints: "endpoints"}

// String returns the topic's name.
func (t Topic) String() string { return topicNames[t] }

// ErrCompacted is returned if the store no longer has the changes after a revision. The topic must be loaded again.
var ErrCompacted = errors.New("follow: history compacted")

// ErrResponseTooLarge is returned if a response holds more changes than can be processed at once. The topic must be loaded
// again.
var ErrResponseTooLarge = errors.New("follow: response contains too many changes")

// Change holds the changes of a topic up to a revision, or the complete contents of the topic.
type Change struct {
	// Revision is the store revision up to which everything is covered.
	Revision Revision
	// Last is the revision of the last change contained, 0 if there is none.
	Last Revision
	// Table is the newest configuration, nil if it did not change, and Document the document as written by the operators.
	Table    *routetable.Table
	Document []byte
	// Endpoints were added or changed, Removed are no longer listed.
	Endpoints []*directory.Endpoint
	Removed   []domain.EndpointID
	// Unusable are endpoints whose entries can't be used. They are taken out of service at once, whatever their earlier
	// entries.
	Unusable []domain.EndpointID
	// Rejected holds an error for each entry that can't be used. The last usable configuration stays active.
	Rejected []error
}

// NodeList is the list of registered nodes.
type NodeList struct {
	Nodes []Peer
	// Rejected holds an error for each entry that can't be used. The other entries are valid.
	Rejected []error
}

// Peer is a node and the address at which the others reach it.
type Peer struct {
	Node       domain.NodeID
	DataCentre domain.DataCentre
	// Address is "IP:port".
	Address string
}

// Source reads the store. Load and Watch are linearizable: a response covers everything that the store had accepted when the
// call was sent.
type Source interface {
	// Load reads the topic in full.
	Load(ctx context.Context, topic Topic) (Change, error)
	// Watch waits at most for wait until the topic changes after the revision, and returns an empty change if it did not. It
	// returns ErrCompacted if the history is gone.
	Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error)
	// Table decodes a configuration document that a peer read from the store.
	Table(document []byte) (*routetable.Table, error)
	// Nodes returns the registered nodes. allowStale permits a list that is seconds old, which costs less.
	Nodes(ctx context.Context, allowStale bool) (NodeList, error)
}
