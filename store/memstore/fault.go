package memstore

import "time"

// Fault is the failure injected into one call. The zero value injects none.
type Fault struct {
	// Down refuses the call without effect, with store.ErrUnavailable.
	Down bool
	// Delay is the time before the call takes effect. A write still takes effect if
	// its context ends meanwhile; it then returns store.ErrUnknownOutcome.
	Delay time.Duration
	// DropResponse lets a write take effect and then returns
	// store.ErrUnknownOutcome. Reads return store.ErrUnavailable.
	DropResponse bool
	// Staleness makes a read return the store's content of that long ago.
	Staleness time.Duration
}

// FaultFunc returns the fault to inject into a call. It must not call the store.
type FaultFunc func(call Call) Fault

// merge combines two faults: delays add up, and otherwise the worse one applies.
func (f Fault) merge(o Fault) Fault {
	return Fault{
		Down:         f.Down || o.Down,
		Delay:        f.Delay + o.Delay,
		DropResponse: f.DropResponse || o.DropResponse,
		Staleness:    max(f.Staleness, o.Staleness),
	}
}
