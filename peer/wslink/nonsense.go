package wslink

import (
	"net"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// nonsenseInterval is how often a peer's protocol violations are logged.
	nonsenseInterval = time.Minute
	// maxNonsensePeers bounds the peers whose last report is remembered.
	maxNonsensePeers = 1024
)

// nonsenseLog remembers when each peer's protocol violations were last logged.
type nonsenseLog struct {
	mu   sync.Mutex
	last map[domain.NodeID]time.Duration
}

// due reports whether a violation of the peer is to be logged now.
func (n *nonsenseLog) due(peer domain.NodeID, now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last, ok := n.last[peer]; ok && now-last < nonsenseInterval {
		return false
	}
	if n.last == nil || len(n.last) >= maxNonsensePeers {
		n.last = make(map[domain.NodeID]time.Duration)
	}
	n.last[peer] = now
	return true
}

// reportNonsense counts a protocol violation and logs it, once a minute for each
// peer.
func (t *Transport) reportNonsense(who domain.NodeID, err error) {
	t.metrics.nonsense.Inc()
	if !t.nonsense.due(who, t.uptime()) {
		return
	}
	t.options.Logger.Warn().Str("peer", string(who)).Err(err).Msg("peer link closed: protocol violation")
}

// hostOf drops the port, which differs with each connection.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
