package ledger

import "time"

// DepartureAges counts the ages of a table's departures on from when this process
// first saw each, so that they grow without a clock that processes share. The
// zero value is ready. It is not safe for concurrent use.
type DepartureAges struct {
	// since tells when a departure was first seen, less its age then.
	since map[departureKey]time.Time
}

// Count sets the ages of the table's departures to what they are at now, and
// forgets departures that the table does not have any more. It writes to the
// table, which must not be in use yet.
func (c *DepartureAges) Apply(t *Table, now time.Time) {
	c.note(t, now)
	for i, d := range t.Departed {
		t.Departed[i].Age = c.age(d, now)
	}
}

// note takes the table's ages in: each departure counts on from now, or from an
// earlier word of it.
func (c *DepartureAges) note(t *Table, now time.Time) {
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

// age returns how long ago a departure was, or less.
func (c *DepartureAges) age(d Departure, now time.Time) time.Duration {
	if since, ok := c.since[d.key()]; ok {
		return now.Sub(since)
	}
	return d.Age
}
