package ledger

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Replica is one incarnation's part in the ledger: the client for its own requests, the
// home of the keys that the table assigns to it, and a witness for other homes. It
// implements Ledger. Its state is in memory only and lost with the process.
type Replica struct {
	options   Options
	transport peer.Transport
	self      domain.Member
	meters    *meters
	attempts  atomic.Uint64
	// history is that of the adopted table, nil before the first one. It is written
	// with the lock held and read without.
	history atomic.Pointer[history]
	// wake has a value when the maintenance loop has something to do.
	wake chan struct{}

	mu      sync.Mutex
	records *recordSet
	// claims is the number of claims granted.
	claims uint64
	// open holds the attempts of this incarnation that have not ended.
	open map[openAttempt]struct{}
	// departureAges tracks the ages of the table's departures.
	departureAges DepartureAges
	// ready is the epoch up to which this member has all records of its keys; zero for
	// none.
	ready    uint64
	recovery *recovery
	// exports are the collections that other members have started.
	exports map[domain.NodeID]*exportSession
	// holderQueries are the keys with a query to their holder in progress. No query
	// starts after stopped is set.
	holderQueries map[KeyHash]struct{}
	stopped       bool
	background    sync.WaitGroup
	// unresponsive is when a member last failed to answer a call for a copy or a
	// confirmation.
	unresponsive map[domain.Member]time.Time
	// storeCheckedAt is when the last check of the store for a later table started,
	// whether it succeeded or not.
	storeCheckedAt time.Time
	// lastConfirmed is when a member was last known to have no later epoch.
	lastConfirmed map[domain.Member]time.Time
	// settledBy maps members to the epoch that they last reported as settled, if this
	// one counts the reports.
	settledBy map[domain.Member]uint64
	// foreign are the latest known tables of other data centres.
	foreign map[domain.DataCentre]*history
}

// openAttempt identifies an attempt of this incarnation.
type openAttempt struct {
	key     KeyHash
	attempt uint64
}

var _ Ledger = (*Replica)(nil)

// New returns a Replica and registers its handlers. The Replica becomes active with
// Run.
func New(options Options) (*Replica, error) {
	if options.Transport == nil || options.Tables == nil {
		return nil, fmt.Errorf("ledger: Options.Transport and Options.Tables are required")
	}
	options = options.withDefaults()
	r := &Replica{
		options:       options,
		transport:     options.Transport,
		self:          options.Transport.Self(),
		wake:          make(chan struct{}, 1),
		records:       newRecordSet(time.Now(), options.Retention),
		open:          make(map[openAttempt]struct{}),
		exports:       make(map[domain.NodeID]*exportSession),
		holderQueries: make(map[KeyHash]struct{}),
		unresponsive:  make(map[domain.Member]time.Time),
		lastConfirmed: make(map[domain.Member]time.Time),
		settledBy:     make(map[domain.Member]uint64),
		foreign:       make(map[domain.DataCentre]*history),
	}
	r.meters = newMeters(options.Metrics, r)
	r.register()
	return r, nil
}

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

// signal wakes the maintenance loop.
func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newClaim returns an ID greater than any that this home, or a home of an earlier
// epoch, has issued for the key. The lock is held.
func (r *Replica) newClaim(epoch uint64, previous ClaimID) ClaimID {
	r.claims++
	return max(ClaimID(epoch<<claimCounterBits|r.claims&(1<<claimCounterBits-1)), previous+1)
}

// claimCounterBits is the number of bits of a ClaimID below the epoch.
const claimCounterBits = 40
