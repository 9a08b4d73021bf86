// Package schedulertest provides fakes of the scheduler's dependencies for tests
// under testing/synctest: a ledger with one home, a capacity client, a model engine
// and a plain service. Each can be made to fail at a given operation and logs its
// calls, from which tests verify what was run.
package schedulertest

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Operation names a ledger call that can be made to fail.
type Operation string

const (
	OpClaim   Operation = "claim"
	OpCommit  Operation = "commit"
	OpRelease Operation = "release"
	OpFinish  Operation = "finish"
	OpLookup  Operation = "lookup"
)

// Fault makes a call fail. With ReplyLost the call fails after it has taken effect.
type Fault struct {
	Err       error
	ReplyLost bool
	// Delay postpones the call's effect; with a nil Err the call then succeeds.
	Delay time.Duration
	// Count is the number of calls that fail; zero means all.
	Count int
}

type record struct {
	claim       ledger.Claim
	state       ledger.State
	fingerprint ledger.Fingerprint
}

// Home is the only home node, responsible for all keys.
type Home struct {
	mu          sync.Mutex
	records     map[domain.RequestKey]*record
	faults      map[Operation]*Fault
	markedGone  map[domain.Member]bool
	crashed     map[domain.Member]bool
	lastClaimID ledger.ClaimID
}

// NewHome returns a home without records.
func NewHome() *Home {
	return &Home{
		records:    make(map[domain.RequestKey]*record),
		faults:     make(map[Operation]*Fault),
		markedGone: make(map[domain.Member]bool),
		crashed:    make(map[domain.Member]bool),
	}
}

// InjectFault makes calls of an operation fail.
func (h *Home) InjectFault(op Operation, fault Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[op] = &fault
}

// Kill ends a member's incarnation: its calls no longer reach the home, and the home
// is informed.
func (h *Home) Kill(member domain.Member) {
	h.MarkGone(member)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashed[member] = true
}

// MarkGone makes the home treat a member's incarnation as ended, although it may only
// be paused.
func (h *Home) MarkGone(member domain.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markedGone[member] = true
}

// Revoke frees the key, as a home does when a claim has expired.
func (h *Home) Revoke(key domain.RequestKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, key)
}

// State returns the state of a key; zero if it is not known.
func (h *Home) State(key domain.RequestKey) ledger.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[key]; ok {
		return r.state
	}
	return 0
}

// LedgerFor returns the ledger client of one member.
func (h *Home) LedgerFor(self domain.Member) ledger.Ledger { return &memberLedger{home: h, self: self} }

// call runs a member's call with the fault of its operation. Calls of killed members
// fail.
func (h *Home) call(self domain.Member, op Operation, effect func() error) error {
	fault := h.takeFault(op)
	time.Sleep(fault.Delay)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.crashed[self] {
		return ledger.ErrUnknown
	}
	if fault.Err != nil && !fault.ReplyLost {
		return fault.Err
	}
	if err := effect(); err != nil {
		return err
	}
	return fault.Err
}

func (h *Home) takeFault(op Operation) Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	fault := h.faults[op]
	if fault == nil {
		return Fault{}
	}
	if fault.Count == 1 {
		delete(h.faults, op)
	}
	fault.Count--
	return *fault
}

type memberLedger struct {
	home *Home
	self domain.Member
}

func (c *memberLedger) Claim(_ context.Context, key domain.RequestKey, fingerprint ledger.Fingerprint) (claim ledger.Claim, err error) {
	err = c.home.call(c.self, OpClaim, func() error {
		claim, err = c.claim(key, fingerprint)
		return err
	})
	if err != nil {
		return ledger.Claim{}, err
	}
	return claim, nil
}

func (c *memberLedger) claim(key domain.RequestKey, fingerprint ledger.Fingerprint) (ledger.Claim, error) {
	h := c.home
	r, known := h.records[key]
	if known && r.fingerprint != fingerprint {
		return ledger.Claim{}, ledger.ErrFingerprintMismatch
	}
	lost := known && (h.markedGone[r.claim.Holder] || r.state == ledger.StateClaimed && r.claim.Holder == c.self)
	switch {
	case !known, lost && r.state == ledger.StateClaimed:
		return c.grant(key, fingerprint, ledger.VerdictGranted, "", ledger.StateClaimed), nil
	case lost && r.state == ledger.StateCommitted:
		return c.grant(key, fingerprint, ledger.VerdictTakeover, r.claim.Endpoint, r.state), nil
	}
	claim := r.claim
	claim.Verdict = ledger.VerdictAttached
	switch {
	case r.state == ledger.StateFailed, lost:
		claim.Verdict = ledger.VerdictRan
	case r.state == ledger.StateFinished:
		claim.Verdict = ledger.VerdictFinished
	}
	return claim, nil
}

func (c *memberLedger) grant(key domain.RequestKey, fingerprint ledger.Fingerprint, verdict ledger.Verdict, endpoint domain.EndpointID, state ledger.State) ledger.Claim {
	c.home.lastClaimID++
	claim := ledger.Claim{Key: key, ID: c.home.lastClaimID, Verdict: verdict, Holder: c.self, Endpoint: endpoint}
	c.home.records[key] = &record{claim: claim, state: state, fingerprint: fingerprint}
	return claim
}

func (c *memberLedger) Commit(_ context.Context, claim ledger.Claim, endpoint domain.EndpointID) error {
	return c.held(OpCommit, claim, func(r *record) {
		r.state = ledger.StateCommitted
		r.claim.Endpoint = endpoint
	})
}

func (c *memberLedger) Release(_ context.Context, claim ledger.Claim) error {
	return c.held(OpRelease, claim, func(*record) { delete(c.home.records, claim.Key) })
}

func (c *memberLedger) Finish(_ context.Context, claim ledger.Claim, complete bool) error {
	return c.held(OpFinish, claim, func(r *record) {
		r.state = ledger.StateFailed
		if complete {
			r.state = ledger.StateFinished
		}
	})
}

// held applies an effect if the claim still holds the key.
func (c *memberLedger) held(op Operation, claim ledger.Claim, effect func(*record)) error {
	return c.home.call(c.self, op, func() error {
		r, ok := c.home.records[claim.Key]
		if !ok || r.claim.ID != claim.ID {
			return ledger.ErrRevoked
		}
		effect(r)
		return nil
	})
}

func (c *memberLedger) Lookup(_ context.Context, key domain.RequestKey) (state ledger.State, claim ledger.Claim, err error) {
	err = c.home.call(c.self, OpLookup, func() error {
		r, ok := c.home.records[key]
		if !ok {
			return ledger.ErrNotFound
		}
		state, claim = r.state, r.claim
		return nil
	})
	return state, claim, err
}
