package limits

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// inFlightClosed is the in-flight count of an evicted account.
const inFlightClosed = math.MinInt64 / 2

// account is the state of an organisation in use at a node. Requests modify only its
// atomic fields.
type account struct {
	organisation domain.OrganisationID
	share        atomic.Pointer[share]
	inFlight     atomic.Int64
	// limitInFlight and limitTokens are the limits in the last request's
	// configuration.
	limitInFlight atomic.Int64
	limitTokens   atomic.Int64
	// tokens is the number of available tokens; it is negative while the account is
	// overdrawn.
	tokens atomic.Int64
	// advanceTokens counts tokens made available here that the owner does not know
	// of.
	advanceTokens atomic.Int64
	// peakInFlight, refused and usedTokens cover the time since the last report.
	peakInFlight atomic.Int64
	refused      atomic.Int64
	usedTokens   atomic.Int64
	// waitingRequests and waitingTokens belong to requests that wait for the owner's
	// reply.
	waitingRequests atomic.Int64
	waitingTokens   atomic.Int64
	active          atomic.Bool

	// The fields below belong to the reporter and are guarded by mu.
	mu       sync.Mutex
	pending  *pendingReport
	sequence uint64
	// reportedOwner is the owner that received the last report.
	reportedOwner domain.Member
	// reportedAt is when the last report was answered.
	reportedAt time.Time
	// cooldownUntil is the earliest time for another immediate report.
	cooldownUntil time.Time
	// tokenRate is the smoothed number of tokens used per second, updated at
	// rateUpdatedAt.
	tokenRate     float64
	rateUpdatedAt time.Time
	// ownerUnreachable is true while the owner is unreachable; refilledAt is when
	// this node last added its equal part of the tokens.
	ownerUnreachable bool
	refilledAt       time.Time
	usedAt           time.Time
	// registered is false if the node has returned its whole share.
	registered bool
}

// pendingReport is a report in progress. Done is closed when its reply has been
// applied or the report has failed.
type pendingReport struct{ done chan struct{} }

// admission is what a request needs from an account.
type admission struct {
	// inFlight is the limit; pool and reserved are its parts for the current number
	// of nodes.
	inFlight int
	pool     int
	reserved int
	tokens   int
	cost     int
}

// newAdmission returns the needs of a request under the configured limits. A request
// that costs more than one minute's tokens needs one minute's tokens to be available.
func newAdmission(org *config.Organisation, nodes, promptTokens, answerTokens int) admission {
	return admission{
		inFlight: org.InFlight,
		pool:     pool(org.InFlight, nodes),
		reserved: reserved(org.InFlight, nodes),
		tokens:   org.TokensPerMinute,
		cost:     max(promptTokens, 0) + max(answerTokens, 0),
	}
}

// requiredTokens returns the number of tokens that must be available.
func (a admission) requiredTokens() int64 { return int64(min(a.cost, a.tokens)) }

// admit admits the request, or returns the limit reached or errAccountClosed.
func (c *account) admit(a admission) error {
	c.recordUse(a)
	if err := c.admitInFlight(a); err != nil {
		return err
	}
	if a.tokens > 0 && !c.admitTokens(a) {
		c.inFlight.Add(-1)
		return ErrTokenRate
	}
	return nil
}

// recordUse stores the configured limits and marks the account as active. It writes
// only values that have changed.
func (c *account) recordUse(a admission) {
	if c.limitInFlight.Load() != int64(a.inFlight) {
		c.limitInFlight.Store(int64(a.inFlight))
	}
	if c.limitTokens.Load() != int64(a.tokens) {
		c.limitTokens.Store(int64(a.tokens))
	}
	if !c.active.Load() {
		c.active.Store(true)
	}
}

func (c *account) admitInFlight(a admission) error {
	allowed := int64(math.MaxInt64)
	if a.inFlight > 0 {
		allowed = int64(c.share.Load().allowed(a.pool) + a.reserved)
	}
	for {
		n := c.inFlight.Load()
		if n < 0 {
			return errAccountClosed
		}
		if n >= allowed {
			return ErrInFlight
		}
		if c.inFlight.CompareAndSwap(n, n+1) {
			c.raisePeak(n + 1)
			return nil
		}
	}
}

func (c *account) raisePeak(n int64) {
	for {
		peak := c.peakInFlight.Load()
		if n <= peak || c.peakInFlight.CompareAndSwap(peak, n) {
			return
		}
	}
}

func (c *account) admitTokens(a admission) bool {
	for {
		n := c.tokens.Load()
		if n < a.requiredTokens() {
			return false
		}
		if c.tokens.CompareAndSwap(n, n-int64(a.cost)) {
			c.usedTokens.Add(int64(a.cost))
			return true
		}
	}
}

// release ends a request. Difference is its actual cost less the estimated one.
func (c *account) release(difference int, tokenLimited bool) {
	if tokenLimited && difference != 0 {
		c.tokens.Add(-int64(difference))
		c.usedTokens.Add(int64(difference))
	}
	c.inFlight.Add(-1)
}

// closeIdle closes the account if no request is in flight.
func (c *account) closeIdle() bool { return c.inFlight.CompareAndSwap(0, inFlightClosed) }
