package ledger

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// AgeCounter counts the ages of a table's departures on from when this process
// first saw each, so that they grow without a clock that processes share. The
// zero value is ready. It is not safe for concurrent use.
type AgeCounter struct {
	// since tells when a departure was first seen, less its age then.
	since map[domain.Member]time.Time
}

// Count sets the ages of the table's departures to what they are at now, and
// forgets departures that the table does not have any more. It writes to the
// table, which must not be in use yet.
func (c *AgeCounter) Count(t *Table, now time.Time) {
	seen := make(map[domain.Member]time.Time, len(t.Departed))
	for i, d := range t.Departed {
		since, ok := c.since[d.TableMember.Member]
		if from := now.Add(-d.Age); !ok || from.Before(since) {
			since = from
		}
		seen[d.TableMember.Member] = since
		t.Departed[i].Age = now.Sub(since)
	}
	c.since = seen
}
