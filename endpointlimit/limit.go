package endpointlimit

import "hawthornrill.example/hawthornrill/boottime"

// limit is what is known of an endpoint's limit.
type limit struct {
	perSecond float64
	// ended is true once the endpoint no longer names it.
	ended bool
	// statedAt is when the endpoint stated this, ownAt when it last stated it to this node, zero if it did not.
	statedAt boottime.Instant
	ownAt    boottime.Instant

	bucket bucket
	// share is this node's part, worked out at sharedAt.
	share    float64
	sharedAt boottime.Instant
}

// equal reports whether the limit is the one that is stated.
func (l *limit) equal(perSecond float64, ended bool) bool {
	return l.ended == ended && (ended || l.perSecond == perSecond)
}
