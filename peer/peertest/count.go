package peertest

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Count is the number of messages sent and the sum of their payload sizes.
type Count struct {
	Messages int
	Bytes    int
}

// add returns the count with one more message of the given payload size.
func (c Count) add(bytes int) Count {
	return Count{Messages: c.Messages + 1, Bytes: c.Bytes + bytes}
}

func (c Count) plus(o Count) Count {
	return Count{Messages: c.Messages + o.Messages, Bytes: c.Bytes + o.Bytes}
}

// countKey identifies the counter of messages of one method sent by one node.
type countKey struct {
	node   domain.NodeID
	method peer.Method
}
