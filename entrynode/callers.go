package entrynode

import (
	"time"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/callers"
	"hawthornrill.example/hawthornrill/gateway"
	"hawthornrill.example/hawthornrill/routetable"
)

// callerLimits returns the limits for callers in the configuration, none while it is not known.
func (n *Node) callerLimits() routetable.Limits {
	if table := n.follower.Table(); table != nil {
		return table.Limits
	}
	return routetable.Limits{}
}

// callerHeadLimits returns the bounds for what callers make the node hold before their requests are dispatched.
func (n *Node) callerHeadLimits() callers.HeadLimits {
	return callers.HeadLimits{
		Budget:   n.headBudget,
		MaxBytes: n.maxHeadBytes,
		Timeout:  func() time.Duration { return n.callerLimits().HeaderTimeout },
		Refusals: gateway.HeadRefusals(),
	}
}

// peerHeadLimits returns those for other nodes. A request that is refused gets no response: the node that forwards it takes one for the
// endpoint's.
func (n *Node) peerHeadLimits() callers.HeadLimits {
	return callers.HeadLimits{Budget: n.headBudget, MaxBytes: func() int { return n.maxHeadBytes() + maxForwardBytes }}
}

// newHeadBudget returns the budget of requests in progress and their heads, nil if the host's memory is not set.
func (n *Node) newHeadBudget() *bytebudget.Budget {
	bytes := n.settings.Host.memoryBytes(headFraction)
	if bytes <= 0 {
		return nil
	}
	budget := callers.NewHeadBudget(bytes)
	n.metrics.NewGauge("hawthornrill_request_head_bytes_held", func() float64 { return float64(budget.Held()) })
	return budget
}

func (n *Node) maxHeadBytes() int {
	if limit := n.callerLimits().MaxHeaderBytes; limit > 0 {
		return min(limit, maxHeaderBytes)
	}
	return defaultHeaderBytes
}

// sweepCallers closes connections that are idle for too long or whose heads arrive too slowly, and reports the refusals since the
// last time.
func (n *Node) sweepCallers(listener *callers.Listener) {
	idle := n.callerLimits().IdleTimeout
	listener.CloseIdle(idle)
	listener.CloseSlowHeads(idle)
	refused := listener.TakeRefusals()
	for reason, count := range map[string]int64{
		"head_too_long": refused.TooLong, "no_room": refused.NoRoom, "too_slow": refused.Slow, "idle": refused.Idle,
	} {
		if count == 0 {
			continue
		}
		n.metrics.GetOrCreateCounter(`hawthornrill_caller_refusals_total{reason="` + reason + `"}`).Add(int(count))
		n.log.Info().Str("reason", reason).Int64("refused", count).Msg("refused before their requests were read")
	}
}
