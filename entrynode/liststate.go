package entrynode

import (
	"math"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/gossip"
)

// maxStatedListAge is the longest age of the list of endpoints that reports state.
const maxStatedListAge = time.Hour

// fillListState states what this node knows of the list of endpoints. The age is read before the revision: otherwise a change that arrives
// in between would be missing from a list that counts as confirmed.
func fillListState(report *gossip.Report, follower *follow.Follower, now boottime.Instant) {
	report.EndpointsAgeMillis = 0
	if age := follower.EndpointsAge(now); age < maxStatedListAge {
		report.EndpointsAgeMillis = ceilMillis(age)
	}
	_, last := follower.Revision(follow.Endpoints)
	report.Endpoints, report.StoreRevision = uint64(last), uint64(follower.StoreRevision())
}

// listConfirmed returns when the sender of a report knew its list of endpoints to be complete, zero if unknown. The report was sent later
// than sent.
func listConfirmed(report *gossip.Report, sent boottime.Instant) boottime.Instant {
	if report.EndpointsAgeMillis <= 0 || sent == 0 {
		return 0
	}
	return max(sent.Add(-time.Duration(min(report.EndpointsAgeMillis, math.MaxInt32))*time.Millisecond), 0)
}

// ceilMillis returns a duration in milliseconds, rounded up, at least 1.
func ceilMillis(d time.Duration) int {
	return int(max((d+time.Millisecond-1)/time.Millisecond, 1))
}
