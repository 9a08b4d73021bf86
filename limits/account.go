package limits

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// closed is the number of requests in flight of an account that is forgotten.
const closed = math.MinInt64 / 2

// account is an organisation in use at a node. Requests change only its atomics.
type account struct {
	organisation domain.OrganisationID
	share        atomic.Pointer[share]
	inFlight     atomic.Int64
	// limitInFlight and limitTokens are the limits that the last request brought.
	limitInFlight atomic.Int64
	limitTokens   atomic.Int64
	// tokens may be used; a debt is below zero.
	tokens atomic.Int64
	// advance are tokens made available that the owner does not know of.
	advance atomic.Int64
	// peak, refused and used are since the last report.
	peak    atomic.Int64
	refused atomic.Int64
	used    atomic.Int64
	// waiting and waitingTokens are of requests that wait for the owner's answer.
	waiting       atomic.Int64
	waitingTokens atomic.Int64
	touched       atomic.Bool

	// The rest is the reporter's, guarded by mu.
	mu       sync.Mutex
	call     *call
	sequence uint64
	// owner is the one that was last told.
	owner domain.Member
	// reportedAt is when the last report was answered.
	reportedAt time.Time
	// calmUntil is when the owner may be asked at once again.
	calmUntil time.Time
	// rate is the tokens used a second, smoothed; ratedAt when it was last worked out.
	rate    float64
	ratedAt time.Time
	// cutOff is true while the owner can't be reached; filledAt is when the equal part
	// of the tokens was last added.
	cutOff   bool
	filledAt time.Time
	usedAt   time.Time
	// held is false if the node has given everything back.
	held bool
}

// call is a report under way. Done is closed when its answer has been applied or
// there will be none.
type call struct{ done chan struct{} }

// admission is what a request asks of an account.
type admission struct {
	// inFlight is the limit; pool and ready are its parts with the nodes of now.
	inFlight int
	pool     int
	ready    int
	tokens   int
	cost     int
}

// newAdmission returns what a request asks under the limits in force. One that
// costs more than a minute's tokens waits for a minute's.
func newAdmission(org *config.Organisation, nodes, promptTokens, answerTokens int) admission {
	return admission{
		inFlight: org.InFlight,
		pool:     pool(org.InFlight, nodes),
		ready:    ready(org.InFlight, nodes),
		tokens:   org.TokensPerMinute,
		cost:     max(promptTokens, 0) + max(answerTokens, 0),
	}
}

// needed returns the tokens that must be there.
func (a admission) needed() int64 { return int64(min(a.cost, a.tokens)) }

// admit counts the request in, or returns the limit that it met, or errClosed.
func (c *account) admit(a admission) error {
	c.note(a)
	if err := c.admitInFlight(a); err != nil {
		return err
	}
	if a.tokens > 0 && !c.admitTokens(a) {
		c.inFlight.Add(-1)
		return ErrTokenRate
	}
	return nil
}

// note keeps the limits in force and that the account is used, without writing what
// has not changed.
func (c *account) note(a admission) {
	if c.limitInFlight.Load() != int64(a.inFlight) {
		c.limitInFlight.Store(int64(a.inFlight))
	}
	if c.limitTokens.Load() != int64(a.tokens) {
		c.limitTokens.Store(int64(a.tokens))
	}
	if !c.touched.Load() {
		c.touched.Store(true)
	}
}

func (c *account) admitInFlight(a admission) error {
	allowed := int64(math.MaxInt64)
	if a.inFlight > 0 {
		allowed = int64(c.share.Load().allowed(a.pool) + a.ready)
	}
	for {
		n := c.inFlight.Load()
		if n < 0 {
			return errClosed
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
		peak := c.peak.Load()
		if n <= peak || c.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

func (c *account) admitTokens(a admission) bool {
	for {
		n := c.tokens.Load()
		if n < a.needed() {
			return false
		}
		if c.tokens.CompareAndSwap(n, n-int64(a.cost)) {
			c.used.Add(int64(a.cost))
			return true
		}
	}
}

// release counts a request out that cost so much more or less than estimated.
func (c *account) release(difference int, tokens bool) {
	if tokens && difference != 0 {
		c.tokens.Add(-int64(difference))
		c.used.Add(int64(difference))
	}
	c.inFlight.Add(-1)
}

// closeIdle forgets the account if nothing is in flight.
func (c *account) closeIdle() bool { return c.inFlight.CompareAndSwap(0, closed) }
