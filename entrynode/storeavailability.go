package entrynode

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/gossip"
)

// maxStatedAvailability is the longest availability of the store that reports state, longer than endpoints that are missing
// after an outage are retained. Reports leave out a longer one.
const maxStatedAvailability = 10 * time.Second

// fillStoreAvailability states what this node knows of the store's availability.
func fillStoreAvailability(report *gossip.Report, known follow.Availability, now boottime.Instant) {
	report.StoreAnsweredMillis, report.StoreSinceMillis = 0, 0
	if known.Last == 0 {
		return
	}
	report.StoreAnsweredMillis = atLeastOneMilli(now.Sub(known.Last))
	if age := now.Sub(known.Since); age < maxStatedAvailability {
		report.StoreSinceMillis = atLeastOneMilli(age)
	}
}

// storeAvailability returns what a report states of the store's availability. The report was sent later than sent and received at
// the instant now. Both limits of the period are taken at the end that claims less: otherwise the beginning would move back with
// each report that passes the period on.
func storeAvailability(report *gossip.Report, sent, now boottime.Instant) follow.Availability {
	if report.StoreAnsweredMillis <= 0 || report.StoreSinceMillis < 0 || sent == 0 {
		return follow.Availability{}
	}
	last := sent.Add(-time.Duration(report.StoreAnsweredMillis) * time.Millisecond)
	if report.StoreSinceMillis == 0 {
		return follow.Availability{Since: min(now.Add(-maxStatedAvailability), last), Last: last}
	}
	since := now.Add(-time.Duration(report.StoreSinceMillis) * time.Millisecond)
	return follow.Availability{Since: since, Last: max(since, last)}
}

func atLeastOneMilli(d time.Duration) int { return int(max(d, time.Millisecond).Milliseconds()) }
