package memstore

import "time"

// Fault is what goes wrong with one call. The zero value is no fault.
type Fault struct {
	// Down refuses the call without effect, with store.ErrUnavailable.
	Down bool
	// Delay passes before the call takes effect. A write whose caller gives up
	// meanwhile takes effect all the same, and its caller is told
	// store.ErrUnknownOutcome.
	Delay time.Duration
	// DropResponse lets a write take effect and then answers
	// store.ErrUnknownOutcome. Reads answer store.ErrUnavailable.
	DropResponse bool
	// Staleness makes a read answer as the store was so long ago.
	Staleness time.Duration
}

// FaultFunc decides the fault of each call. It must not call the store.
type FaultFunc func(call Call) Fault

// merge adds o to f; the worse of both counts.
func (f Fault) merge(o Fault) Fault {
	return Fault{
		Down:         f.Down || o.Down,
		Delay:        f.Delay + o.Delay,
		DropResponse: f.DropResponse || o.DropResponse,
		Staleness:    max(f.Staleness, o.Staleness),
	}
}
