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

// Topic is a part of the store that is followed by itself.
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

// ErrCompacted means that the store no longer has the changes after the revision: the topic must be loaded again.
var ErrCompacted = errors.New("follow: history is no longer available")

// ErrResponseTooLarge means that an answer holds more changes than can be taken at a time: the topic must be loaded.
var ErrResponseTooLarge = errors.New("follow: the answer is too long")

// Change is what happened in a topic up to a revision, or all that a topic holds.
type Change struct {
	// Revision is the store's, up to which everything is covered.
	Revision Revision
	// Last is the revision of the last change told, 0 if there is none.
	Last Revision
	// Table is the newest configuration, nil if it did not change, and Document the same as the operators wrote it.
	Table    *routetable.Table
	Document []byte
	// Endpoints were listed or changed, Removed are listed no more.
	Endpoints []*directory.Endpoint
	Removed   []domain.EndpointID
	// Unusable are endpoints whose entries can't be used. They are out of service at once, whatever they said before.
	Unusable []domain.EndpointID
	// Rejected says of each entry that could not be used why. Of the configuration the last good one stays in force.
	Rejected []error
}

// NodeList is the nodes that are listed.
type NodeList struct {
	Nodes []Peer
	// Rejected says of each entry that could not be used why. The others hold.
	Rejected []error
}

// Peer is a node and where the others reach it.
type Peer struct {
	Node       domain.NodeID
	DataCentre domain.DataCentre
	// Address is "IP:port".
	Address string
}

// Source reads the store. Load and Watch are linearizable: an answer covers everything that the store had accepted when
// the call was sent.
type Source interface {
	// Load reads all that the topic holds.
	Load(ctx context.Context, topic Topic) (Change, error)
	// Watch waits until something changes in the topic after the revision, at most for wait, and returns an empty change
	// if nothing did. It returns ErrCompacted if the history is gone.
	Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error)
	// Table decodes a document that a node had from the store.
	Table(document []byte) (*routetable.Table, error)
	// Nodes returns the nodes as they are listed. Old allows a list that is seconds old, which costs less.
	Nodes(ctx context.Context, old bool) (NodeList, error)
}
