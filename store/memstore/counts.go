package memstore

import "sync/atomic"

// Counts are calls since the start, refused ones included.
type Counts struct {
	Reads, Writes, Watches uint64
	// Refused counts calls over the rate limit.
	Refused uint64
	// Bytes counts the values written and read.
	BytesWritten, BytesRead uint64
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
