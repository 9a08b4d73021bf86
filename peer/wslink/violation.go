package wslink

import (
	"net"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// violationLogInterval is the minimum time between two log messages about protocol
	// violations of a peer.
	violationLogInterval = time.Minute
	// maxViolationPeers limits the peers whose last log time is kept.
	maxViolationPeers = 1024
)

// violationLog rate-limits the log messages about protocol violations of each peer.
type violationLog struct {
	mu   sync.Mutex
	last map[domain.NodeID]time.Duration
}

// due reports whether a violation of the peer should be logged now, and records the
// time if so.
func (n *violationLog) due(peer domain.NodeID, now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last, ok := n.last[peer]; ok && now-last < violationLogInterval {
		return false
	}
	if n.last == nil || len(n.last) >= maxViolationPeers {
		n.last = make(map[domain.NodeID]time.Duration)
	}
	n.last[peer] = now
	return true
}

// reportViolation counts a protocol violation and logs it, at most once a minute for
// each peer.
func (t *Transport) reportViolation(sender domain.NodeID, err error) {
	t.metrics.violations.Inc()
	if !t.violations.due(sender, t.uptime()) {
		return
	}
	t.options.Logger.Warn().Str("peer", string(sender)).Err(err).Msg("peer link closed: protocol violation")
}

// hostOf removes the port from an address, as it differs for each connection.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
