// Package schedulertest has small fakes of the parts that a scheduler puts
// together, for tests under testing/synctest: a ledger with one home, a capacity
// client, a model engine and a plain service. Each can be told to fail at a step
// and keeps a log, which tests take as the witness of what was run.
package schedulertest

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Step names a call that can be made to fail.
type Step string

const (
	StepClaim   Step = "claim"
	StepCommit  Step = "commit"
	StepRelease Step = "release"
	StepFinish  Step = "finish"
	StepLookup  Step = "lookup"
)

// Fault makes a call fail. A late fault fails after the call took effect: its
// reply was lost.
type Fault struct {
	Err  error
	Late bool
	// Delay holds the call up before it takes effect; with a nil Err it then succeeds.
	Delay time.Duration
	// Times is how often it strikes; zero for always.
	Times int
}

type record struct {
	claim       ledger.Claim
	state       ledger.State
	fingerprint ledger.Fingerprint
}

// Home is the one home of all keys.
type Home struct {
	mu      sync.Mutex
	records map[domain.RequestKey]*record
	faults  map[Step]*Fault
	gone    map[domain.Member]bool
	dead    map[domain.Member]bool
	last    ledger.ClaimID
}

// NewHome returns a home that knows no keys.
func NewHome() *Home {
	return &Home{
		records: make(map[domain.RequestKey]*record),
		faults:  make(map[Step]*Fault),
		gone:    make(map[domain.Member]bool),
		dead:    make(map[domain.Member]bool),
	}
}

// Break makes calls of a step fail.
func (h *Home) Break(step Step, fault Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[step] = &fault
}

// Kill ends a member's life: it reaches the home no more, and the home knows.
func (h *Home) Kill(member domain.Member) {
	h.Lose(member)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead[member] = true
}

// Lose makes the home believe that a member's life is over, though it may only
// have been paused.
func (h *Home) Lose(member domain.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone[member] = true
}

// Revoke gives the key free, as a home does with a claim that has lapsed.
func (h *Home) Revoke(key domain.RequestKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, key)
}

// State returns where a key stands; zero if it is not known.
func (h *Home) State(key domain.RequestKey) ledger.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[key]; ok {
		return r.state
	}
	return 0
}

// For returns the ledger of one member.
func (h *Home) For(self domain.Member) ledger.Ledger { return &client{home: h, self: self} }

// do runs a call of a member between the faults of its step. The dead don't call.
func (h *Home) do(self domain.Member, step Step, effect func() error) error {
	fault := h.strike(step)
	time.Sleep(fault.Delay)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead[self] {
		return ledger.ErrUnknown
	}
	if fault.Err != nil && !fault.Late {
		return fault.Err
	}
	if err := effect(); err != nil {
		return err
	}
	return fault.Err
}

func (h *Home) strike(step Step) Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	fault := h.faults[step]
	if fault == nil {
		return Fault{}
	}
	if fault.Times == 1 {
		delete(h.faults, step)
	}
	fault.Times--
	return *fault
}

type client struct {
	home *Home
	self domain.Member
}

func (c *client) Claim(_ context.Context, key domain.RequestKey, fingerprint ledger.Fingerprint) (claim ledger.Claim, err error) {
	err = c.home.do(c.self, StepClaim, func() error {
		claim, err = c.claim(key, fingerprint)
		return err
	})
	if err != nil {
		return ledger.Claim{}, err
	}
	return claim, nil
}

func (c *client) claim(key domain.RequestKey, fingerprint ledger.Fingerprint) (ledger.Claim, error) {
	h := c.home
	r, known := h.records[key]
	if known && r.fingerprint != fingerprint {
		return ledger.Claim{}, ledger.ErrFingerprintMismatch
	}
	lost := known && (h.gone[r.claim.Holder] || r.state == ledger.StateClaimed && r.claim.Holder == c.self)
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

func (c *client) grant(key domain.RequestKey, fingerprint ledger.Fingerprint, verdict ledger.Verdict, endpoint domain.EndpointID, state ledger.State) ledger.Claim {
	c.home.last++
	claim := ledger.Claim{Key: key, ID: c.home.last, Verdict: verdict, Holder: c.self, Endpoint: endpoint}
	c.home.records[key] = &record{claim: claim, state: state, fingerprint: fingerprint}
	return claim
}

func (c *client) Commit(_ context.Context, claim ledger.Claim, endpoint domain.EndpointID) error {
	return c.held(StepCommit, claim, func(r *record) {
		r.state = ledger.StateCommitted
		r.claim.Endpoint = endpoint
	})
}

func (c *client) Release(_ context.Context, claim ledger.Claim) error {
	return c.held(StepRelease, claim, func(*record) { delete(c.home.records, claim.Key) })
}

func (c *client) Finish(_ context.Context, claim ledger.Claim, complete bool) error {
	return c.held(StepFinish, claim, func(r *record) {
		r.state = ledger.StateFailed
		if complete {
			r.state = ledger.StateFinished
		}
	})
}

// held runs an effect if the claim is the one that holds the key.
func (c *client) held(step Step, claim ledger.Claim, effect func(*record)) error {
	return c.home.do(c.self, step, func() error {
		r, ok := c.home.records[claim.Key]
		if !ok || r.claim.ID != claim.ID {
			return ledger.ErrRevoked
		}
		effect(r)
		return nil
	})
}

func (c *client) Lookup(_ context.Context, key domain.RequestKey) (state ledger.State, claim ledger.Claim, err error) {
	err = c.home.do(c.self, StepLookup, func() error {
		r, ok := c.home.records[key]
		if !ok {
			return ledger.ErrNotFound
		}
		state, claim = r.state, r.claim
		return nil
	})
	return state, claim, err
}
