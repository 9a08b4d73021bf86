package peertest

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Action is the fault to apply to one message. The zero value delivers it.
type Action struct {
	// Drop discards the message.
	Drop bool
	// Delay is added to the one-way delay of the link.
	Delay time.Duration
	// Duplicate delivers a request twice, which peer.Transport does not allow. It has
	// no effect on replies.
	Duplicate bool
}

// Interceptor returns the fault to apply to each message that a node sends. For a
// reply, reply is true and from is the node that replies. It must be safe for
// concurrent use.
type Interceptor func(from, to domain.NodeID, method peer.Method, reply bool) Action

// dropRule discards the next messages that match, as many as remaining.
type dropRule struct {
	from, to  domain.NodeID
	method    peer.Method
	reply     bool
	remaining int
}

func (r *dropRule) matches(from, to domain.NodeID, method peer.Method, reply bool) bool {
	return r.from == from && r.to == to && r.method == method && r.reply == reply
}
