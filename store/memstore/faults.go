package memstore

import (
	"sync"
	"time"
)

// Faults holds the faults in force for a Store or a Client. All methods may be
// called at any time; they hold for calls that begin afterwards, and SetDown
// breaks off waiting watches as well.
type Faults struct {
	mu       sync.Mutex
	standing Fault
	loseNext int
	decide   FaultFunc
	calls    uint64
	broken   chan struct{}
}

func newFaults() *Faults { return &Faults{broken: make(chan struct{})} }

// SetDown refuses all calls while it is true.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standing.Down = down
	if !down {
		return
	}
	close(f.broken)
	f.broken = make(chan struct{})
}

// SetDelay delays the effect of all calls.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standing.Delay = delay
}

// SetStaleness makes all reads but watches answer as the store was so long ago.
func (f *Faults) SetStaleness(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standing.Staleness = age
}

// DropNextResponses loses the answers of the next n writes, after their effect.
func (f *Faults) DropNextResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

// SetFunc sets a function that decides a fault for each call, besides the
// standing ones; nil removes it.
func (f *Faults) SetFunc(decide FaultFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide = decide
}

// next returns the fault of a call that begins, and a channel that is closed
// when the store goes down during it.
func (f *Faults) next(operation Operation, key string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	fault := f.standing
	if f.loseNext > 0 && operation.IsWrite() && !fault.Down {
		f.loseNext--
		fault.DropResponse = true
	}
	if f.decide != nil {
		fault = fault.merge(f.decide(Call{Operation: operation, Key: key, Number: f.calls}))
	}
	return fault, f.broken
}
