package memstore

import (
	"sync"
	"time"
)

// Faults holds the faults that apply to a Store or a Client. All methods may be
// called at any time. They apply to calls that start afterwards; SetDown also ends
// pending watches.
type Faults struct {
	mu         sync.Mutex
	persistent Fault
	dropNext   int
	faultFunc  FaultFunc
	calls      uint64
	wentDown   chan struct{}
}

func newFaults() *Faults { return &Faults{wentDown: make(chan struct{})} }

// SetDown makes all calls fail while down is true.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.persistent.Down = down
	if !down {
		return
	}
	close(f.wentDown)
	f.wentDown = make(chan struct{})
}

// SetDelay delays the effect of all calls.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.persistent.Delay = delay
}

// SetStaleness makes all reads except watches return the store's content of that
// long ago.
func (f *Faults) SetStaleness(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.persistent.Staleness = age
}

// DropNextResponses drops the responses to the next n writes, after they took effect.
func (f *Faults) DropNextResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropNext = n
}

// SetFunc sets a function that returns a fault for each call, in addition to the
// other faults; nil removes it.
func (f *Faults) SetFunc(faultFunc FaultFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultFunc = faultFunc
}

// nextFault returns the fault of a call that starts, and a channel that is closed
// when SetDown is called during the call.
func (f *Faults) nextFault(operation Operation, key string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	fault := f.persistent
	if f.dropNext > 0 && operation.IsWrite() && !fault.Down {
		f.dropNext--
		fault.DropResponse = true
	}
	if f.faultFunc != nil {
		fault = fault.merge(f.faultFunc(Call{Operation: operation, Key: key, Number: f.calls}))
	}
	return fault, f.wentDown
}
