package ledger

import "time"

// DepartureAges tracks the ages of a table's departures from when this process first
// saw each, so that they grow without a clock shared between processes. The zero value
// is ready for use. It is not safe for concurrent use.
type DepartureAges struct {
	// since is the time at which a departure was first seen, less its age at that time.
	since map[departureKey]time.Time
}

// Apply sets the ages of the table's departures as of now, and drops departures that
// are no longer in the table. It writes to the table, which must not be in use yet.
func (c *DepartureAges) Apply(t *Table, now time.Time) {
	c.observe(t, now)
	for i, d := range t.Departed {
		t.Departed[i].Age = c.age(d, now)
	}
}

// observe records the ages in the table: each departure is dated from its age now, or
// from an earlier observation if that makes it older.
func (c *DepartureAges) observe(t *Table, now time.Time) {
	seen := make(map[departureKey]time.Time, len(t.Departed))
	for _, d := range t.Departed {
		since := now.Add(-d.Age)
		if earlier, ok := c.since[d.key()]; ok && earlier.Before(since) {
			since = earlier
		}
		seen[d.key()] = since
	}
	c.since = seen
}

// age returns a lower bound on the time since a departure.
func (c *DepartureAges) age(d Departure, now time.Time) time.Duration {
	if since, ok := c.since[d.key()]; ok {
		return now.Sub(since)
	}
	return d.Age
}
