package wslink

import (
	"cmp"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// LinkState describes a link in the state dump.
type LinkState struct {
	Peer    domain.Member `json:"peer"`
	Dialled bool          `json:"dialled"`
	Closing bool          `json:"closing"`
	// Waiting is the number of outstanding calls made by this node, Serving of those
	// made by the peer.
	Waiting     int   `json:"waiting"`
	Serving     int   `json:"serving"`
	QueuedBytes int   `json:"queued_bytes"`
	IdleMillis  int64 `json:"idle_ms"`
}

// State is the transport's section of the state dump.
type State struct {
	Encrypted bool        `json:"encrypted"`
	Links     []LinkState `json:"links"`
}

// State returns the links, sorted by node.
func (t *Transport) State() State {
	state := State{Encrypted: t.options.Credentials != nil, Links: []LinkState{}}
	for _, l := range t.links() {
		state.Links = append(state.Links, l.state(t.uptime()))
	}
	slices.SortFunc(state.Links, func(a, b LinkState) int {
		return cmp.Or(cmp.Compare(a.Peer.Node, b.Peer.Node), cmp.Compare(a.Peer.Incarnation, b.Peer.Incarnation))
	})
	return state
}

func (l *link) state(now time.Duration) LinkState {
	waiting, serving := l.outstanding()
	return LinkState{
		Peer:        l.remote,
		Dialled:     l.dialled,
		Closing:     !l.open(),
		Waiting:     waiting,
		Serving:     serving,
		QueuedBytes: l.queue.queuedBytes(),
		IdleMillis:  (now - time.Duration(l.lastUsed.Load())).Milliseconds(),
	}
}
