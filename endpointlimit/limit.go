package endpointlimit

import (
	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/gossip"
)

// limit is the known state of one endpoint's limit.
type limit struct {
	perSecond float64
	// ended is true once the endpoint no longer advertises the limit.
	ended bool
	// advertisedAt is when the endpoint made the latest advertisement known; receivedAt is when it last made one to this node,
	// zero if it never did.
	advertisedAt boottime.Instant
	receivedAt   boottime.Instant

	// bucket is refilled at this node's share, which was computed at shareComputedAt.
	bucket          bucket
	shareComputedAt boottime.Instant
}

// matches reports whether the limit is the reported one.
func (l *limit) matches(reported gossip.EndpointLimit) bool {
	return l.ended == reported.Ended && (reported.Ended || l.perSecond == reported.PerSecond)
}
