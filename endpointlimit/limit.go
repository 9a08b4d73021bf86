package endpointlimit

import (
	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/gossip"
)

// limit is what is known of an endpoint's limit.
type limit struct {
	perSecond float64
	// ended is true once the endpoint no longer names it.
	ended bool
	// statedAt is when the endpoint stated this, ownAt when it last stated it to this node, zero if it did not.
	statedAt boottime.Instant
	ownAt    boottime.Instant

	// bucket fills with this node's share, which was worked out at sharedAt.
	bucket   bucket
	sharedAt boottime.Instant
}

// equal reports whether the limit is the one that is told.
func (l *limit) equal(told gossip.EndpointLimit) bool {
	return l.ended == told.Ended && (told.Ended || l.perSecond == told.PerSecond)
}
