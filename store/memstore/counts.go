package memstore

import "sync/atomic"

// Counts holds the numbers of calls since the start, including refused ones.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Refused counts calls over the rate limit.
	Refused uint64 `json:"refused"`
	// BytesWritten and BytesRead sum the sizes of the values written and read.
	BytesWritten uint64 `json:"bytes_written"`
	BytesRead    uint64 `json:"bytes_read"`
}

type counters struct {
	reads, writes, watches, refused, written, read atomic.Uint64
}

func (c *counters) add(operation Operation) {
	switch {
	case operation == OperationWatch:
		c.watches.Add(1)
	case operation.IsWrite():
		c.writes.Add(1)
	default:
		c.reads.Add(1)
	}
}

func (c *counters) snapshot() Counts {
	return Counts{
		Reads:        c.reads.Load(),
		Writes:       c.writes.Load(),
		Watches:      c.watches.Load(),
		Refused:      c.refused.Load(),
		BytesWritten: c.written.Load(),
		BytesRead:    c.read.Load(),
	}
}
