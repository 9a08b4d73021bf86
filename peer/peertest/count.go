package peertest

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Count is a number of messages and their payload bytes.
type Count struct {
	Messages int
	Bytes    int
}

// add counts one more message.
func (c Count) add(bytes int) Count {
	return Count{Messages: c.Messages + 1, Bytes: c.Bytes + bytes}
}

// plus adds two counts.
func (c Count) plus(o Count) Count {
	return Count{Messages: c.Messages + o.Messages, Bytes: c.Bytes + o.Bytes}
}

// countKey names a counter: what a node has sent of a method.
type countKey struct {
	node   domain.NodeID
	method peer.Method
}
