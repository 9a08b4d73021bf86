package limits

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// errAccountClosed means that the account has been evicted.
var errAccountClosed = errors.New("limits: account closed")

// Service admits requests at a node and, as their owner, allocates the limits of some
// organisations for all nodes.
type Service struct {
	options    Options
	accounts   *accounts
	allocators *allocators
	nodeSet    atomic.Pointer[nodeSet]
	// ctx bounds the calls made for requests; stop cancels it.
	ctx  context.Context
	stop context.CancelFunc

	admitted *metrics.Counter
	refused  *metrics.Counter
	reports  *metrics.Counter
	failures *metrics.Counter
}

// New returns a Service and registers its handler. Shares follow demand only while
// Run is running.
func New(options Options) *Service {
	o := options.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{
		options:  o,
		accounts: newAccounts(),
		ctx:      ctx,
		stop:     stop,
		admitted: o.Metrics.GetOrCreateCounter("hawthornrill_limits_admitted_total"),
		refused:  o.Metrics.GetOrCreateCounter("hawthornrill_limits_refused_total"),
		reports:  o.Metrics.GetOrCreateCounter("hawthornrill_limits_reports_total"),
		failures: o.Metrics.GetOrCreateCounter("hawthornrill_limits_report_failures_total"),
	}
	s.allocators = newAllocators(s)
	s.nodeSet.Store(&nodeSet{changedAt: time.Now()})
	s.refreshNodes()
	o.Metrics.GetOrCreateGauge("hawthornrill_limits_accounts", func() float64 { return float64(len(s.accounts.current())) })
	o.Metrics.GetOrCreateGauge("hawthornrill_limits_owned", func() float64 { return float64(s.allocators.len()) })
	peer.Handle(o.Transport, methodReport, s.allocators.handleReport)
	return s
}

// Close cancels the calls in progress. Admit then uses the existing shares.
func (s *Service) Close() { s.stop() }

// Admit admits a request under its organisation's limits, or returns an *Error. The
// number of answer tokens is an estimate, corrected by Permit.Release. Admit returns
// at once, unless this node's share is used up and the owner may have more: then it
// waits for the owner's reply, at most Options.OwnerWaitTimeout.
func (s *Service) Admit(org *config.Organisation, promptTokens, answerTokens int) (*Permit, error) {
	if org.InFlight <= 0 && org.TokensPerMinute <= 0 {
		return unlimited, nil
	}
	a := newAdmission(org, s.nodeCount(), promptTokens, answerTokens)
	account, err := s.tryAdmit(org, a)
	if err != nil {
		account, err = s.admitAfterReport(org, a, account, err)
	}
	if err != nil {
		s.refused.Inc()
		return nil, s.refusal(account, a, err)
	}
	s.admitted.Inc()
	return &Permit{account: account, cost: a.cost, tokenLimited: a.tokens > 0}, nil
}

// tryAdmit uses the organisation's account, or a new one if it has just been evicted.
func (s *Service) tryAdmit(org *config.Organisation, a admission) (*account, error) {
	for {
		c := s.accounts.get(org.ID, func() *account { return s.newAccount(org) })
		err := c.admit(a)
		if err != errAccountClosed { //nolint:errorlint // never wrapped
			return c, err
		}
		s.accounts.drop([]*account{c})
	}
}

// admitAfterReport requests more from the owner and retries, until the request is
// admitted, the owner has nothing left or OwnerWaitTimeout has passed.
func (s *Service) admitAfterReport(org *config.Organisation, a admission, c *account, err error) (*account, error) {
	timer := time.NewTimer(s.options.OwnerWaitTimeout)
	defer timer.Stop()
	c.waitingRequests.Add(1)
	c.waitingTokens.Add(a.requiredTokens())
	defer c.waitingTokens.Add(-a.requiredTokens())
	defer c.waitingRequests.Add(-1)
	for err != nil {
		pending := s.reportNow(c)
		if pending == nil {
			return c, c.admit(a)
		}
		select {
		case <-pending.done:
		case <-timer.C:
			s.ownerTimedOut(c)
			return c, c.admit(a)
		}
		if err = c.admit(a); err == errAccountClosed { //nolint:errorlint // never wrapped
			return s.tryAdmit(org, a)
		}
	}
	return c, nil
}

// ownerTimedOut marks the owner as unreachable if the report is still pending.
func (s *Service) ownerTimedOut(c *account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		s.markOwnerUnreachable(time.Now(), c)
	}
}

// refusal counts the refusal as demand and returns the error.
func (s *Service) refusal(c *account, a admission, err error) error {
	c.refused.Add(1)
	retry := s.options.RetryAfter
	if errors.Is(err, ErrTokenRate) {
		missing := refillTime(float64(a.requiredTokens()-c.tokens.Load()), a.tokens)
		retry = max(retry, c.share.Load().tokenWait+missing)
	}
	return &Error{Err: err, RetryAfter: retry}
}

// newAccount returns an account that the owner does not know yet.
func (s *Service) newAccount(org *config.Organisation) *account {
	now := time.Now()
	c := &account{organisation: org.ID, rateUpdatedAt: now, usedAt: now}
	s.resetAccount(c, org.InFlight, org.TokensPerMinute)
	return c
}

// resetAccount gives an account what it may use before its first report: an equal
// part of the tokens, and no share of the requests.
func (s *Service) resetAccount(c *account, inFlight, tokensPerMinute int) {
	c.share.Store(&share{limit: inFlight, pool: pool(inFlight, s.nodeCount()), receivedAt: time.Now()})
	tokens := int64(tokensPerMinute / s.nodeCount())
	c.tokens.Store(tokens)
	c.advanceTokens.Store(tokens)
}

// nodeCount returns the number of live nodes, at least one.
func (s *Service) nodeCount() int { return max(len(s.nodeSet.Load().live), 1) }

// refreshNodes updates the node set from the membership.
func (s *Service) refreshNodes() *nodeSet {
	current := s.nodeSet.Load()
	view := s.options.Membership.Current()
	if view == current.view {
		return current
	}
	next := current.update(time.Now(), view, s.options.SettleTime)
	s.nodeSet.CompareAndSwap(current, next)
	return s.nodeSet.Load()
}

func (s *Service) self() domain.NodeID { return s.options.Transport.Self().Node }
