package ledger

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Replica is one life's part in the ledger: the entry's side of its own requests,
// the home of the keys that the table gives it, and the witness of others'. It
// implements Ledger. Everything it knows is lost with the process.
type Replica struct {
	options   Options
	transport peer.Transport
	self      domain.Member
	meters    *meters
	attempts  atomic.Uint64
	// history is that of the adopted table; nil before the first. It is written with
	// the lock held and read without.
	history atomic.Pointer[history]
	// wake has a value when the maintenance loop has something to do.
	wake chan struct{}

	mu   sync.Mutex
	book *book
	// claims counts the claims given.
	claims uint64
	// open holds this life's attempts that have not ended.
	open map[openAttempt]struct{}
	// lost counts the ages of the table's departures.
	lost DepartureAges
	// ready is the epoch up to which this member knows all records of its keys; zero
	// for none.
	ready    uint64
	recovery *recovery
	// exports are the collections that other members have begun.
	exports map[domain.NodeID]*export
	// asking are the keys whose holders are being asked. No more are once stopped.
	asking  map[KeyHash]struct{}
	stopped bool
	work    sync.WaitGroup
	// silent tells when a member last did not answer as a second process.
	silent map[domain.Member]time.Time
	// storeAsked is when the store was last asked for a later table, successfully or
	// not.
	storeAsked time.Time
	// heard tells when a member was last known to have no later epoch.
	heard map[domain.Member]time.Time
	// settledBy are the members that have settled the epoch, if this one keeps count.
	settledBy map[domain.Member]uint64
	// foreign are the latest tables met of other data centres.
	foreign map[domain.DataCentre]*history
}

// openAttempt names an attempt of this life.
type openAttempt struct {
	key     KeyHash
	attempt uint64
}

var _ Ledger = (*Replica)(nil)

// New returns a Replica and registers its handlers. It takes part once Run runs.
func New(options Options) (*Replica, error) {
	if options.Transport == nil || options.Tables == nil {
		return nil, fmt.Errorf("ledger: options need a transport and tables")
	}
	options = options.withDefaults()
	r := &Replica{
		options:   options,
		transport: options.Transport,
		self:      options.Transport.Self(),
		wake:      make(chan struct{}, 1),
		book:      newBook(time.Now(), options.Retention),
		open:      make(map[openAttempt]struct{}),
		exports:   make(map[domain.NodeID]*export),
		asking:    make(map[KeyHash]struct{}),
		silent:    make(map[domain.Member]time.Time),
		heard:     make(map[domain.Member]time.Time),
		settledBy: make(map[domain.Member]uint64),
		foreign:   make(map[domain.DataCentre]*history),
	}
	r.meters = newMeters(options.Metrics, r)
	r.register()
	return r, nil
}

// register sets the handlers of the ledger's messages.
func (r *Replica) register() {
	t := r.transport
	peer.Handle(t, methodClaim, handle(r.serveClaim))
	peer.Handle(t, methodCommit, handle(r.serveCommit))
	peer.Handle(t, methodRelease, handle(r.serveRelease))
	peer.Handle(t, methodFinish, handle(r.serveFinish))
	peer.Handle(t, methodLookup, handle(r.serveLookup))
	peer.Handle(t, methodMirror, handle(r.serveMirror))
	peer.Handle(t, methodCollect, handle(r.serveCollect))
	peer.Handle(t, methodTable, handle(r.serveTable))
	peer.Handle(t, methodSettled, handle(r.serveSettled))
	peer.Handle(t, methodHolds, handle(r.serveHolds))
	peer.Handle(t, methodConfirm, handle(r.serveConfirm))
}

// epoch returns the adopted table's epoch, or zero.
func (r *Replica) epoch() uint64 {
	if h := r.history.Load(); h != nil {
		return h.table.Epoch
	}
	return 0
}

// signal lets the maintenance loop look for work.
func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newClaim returns an identifier greater than any that a home of an earlier
// epoch, or this one, has given for the key. The lock is held.
func (r *Replica) newClaim(epoch uint64, previous ClaimID) ClaimID {
	r.claims++
	return max(ClaimID(epoch<<claimCounterBits|r.claims&(1<<claimCounterBits-1)), previous+1)
}

// claimCounterBits are the bits of a ClaimID below the epoch.
const claimCounterBits = 40
