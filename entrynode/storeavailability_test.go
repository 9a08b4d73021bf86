package entrynode

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/gossip"
)

func at(d time.Duration) boottime.Instant { return boottime.Instant(time.Hour + d) }

func TestStoreAvailabilityInReports(t *testing.T) {
	const transit, echo = 20 * time.Millisecond, 100 * time.Millisecond
	sent, received, now := at(-echo), at(transit), at(0)
	for name, c := range map[string]struct{ known, want follow.Availability }{
		"nothing known":     {},
		"available for 3 s": {follow.Availability{Since: at(-3 * time.Second), Last: at(-time.Second)}, follow.Availability{Since: at(-3*time.Second + transit), Last: at(-time.Second - echo)}},
		"available for an hour": {follow.Availability{Since: 1, Last: at(-time.Second)},
			follow.Availability{Since: at(-maxStatedAvailability + transit), Last: at(-time.Second - echo)}},
		"first answer just now": {follow.Availability{Since: now, Last: now}, follow.Availability{Since: at(transit - time.Millisecond), Last: at(transit - time.Millisecond)}},
		"last answer long ago":  {follow.Availability{Since: 1, Last: at(-time.Minute)}, follow.Availability{Since: at(-time.Minute - echo), Last: at(-time.Minute - echo)}},
	} {
		t.Run(name, func(t *testing.T) {
			var report gossip.Report
			fillStoreAvailability(&report, c.known, now)
			assert.Equal(t, storeAvailability(&report, sent, received), c.want)
			assert.Equal(t, storeAvailability(&report, 0, received), follow.Availability{}, "when it was sent is not known")
		})
	}
}

// Guards against the beginning of a period moving back each time that nodes report it to each other.
func TestReportedBeginningDoesNotMoveBack(t *testing.T) {
	since := at(0)
	known := follow.Availability{Since: since, Last: since}
	now := since
	for range 50 {
		var report gossip.Report
		fillStoreAvailability(&report, known, now)
		sent := now.Add(-100 * time.Millisecond)
		now = now.Add(20 * time.Millisecond)
		known = storeAvailability(&report, sent, now)
		assert.Assert(t, known.Since >= since.Add(-time.Millisecond))
	}
}

func TestImpossibleStoreAvailabilityIsIgnored(t *testing.T) {
	for _, report := range []gossip.Report{{StoreAnsweredMillis: -5, StoreSinceMillis: 9}, {StoreAnsweredMillis: 5, StoreSinceMillis: -9}} {
		assert.Equal(t, storeAvailability(&report, at(0), at(0)), follow.Availability{})
	}
}
