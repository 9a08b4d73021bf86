package peertest

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Action says what happens to one message. The zero value delivers it.
type Action struct {
	// Drop loses the message.
	Drop bool
	// Delay is added to the link's own delay.
	Delay time.Duration
	// Duplicate delivers a request twice, which no real transport does. It has no
	// effect on replies.
	Duplicate bool
}

// Interceptor decides about each message that leaves its sender. It is called
// for requests and, with reply true, for replies, whose from is the node that
// replies. It must be safe for concurrent use.
type Interceptor func(from, to domain.NodeID, method peer.Method, reply bool) Action

// dropRule loses the next remaining messages that match.
type dropRule struct {
	from, to  domain.NodeID
	method    peer.Method
	reply     bool
	remaining int
}

// matches reports whether the rule is about such messages.
func (r *dropRule) matches(from, to domain.NodeID, method peer.Method, reply bool) bool {
	return r.from == from && r.to == to && r.method == method && r.reply == reply
}
