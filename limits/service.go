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

// errClosed means that the account was forgotten meanwhile.
var errClosed = errors.New("limits: account closed")

// Service is a node's part of the limits: it admits requests here, and owns some
// organisations for all nodes.
type Service struct {
	options  Options
	accounts *accounts
	books    *books
	fleet    atomic.Pointer[fleet]
	// ctx ends the calls that requests cause; stop ends it.
	ctx  context.Context
	stop context.CancelFunc

	admitted *metrics.Counter
	refused  *metrics.Counter
	reports  *metrics.Counter
	failures *metrics.Counter
}

// New returns a Service and registers its handler. Run must run for shares to
// follow demand.
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
	s.books = newBooks(s)
	s.fleet.Store(&fleet{changedAt: time.Now()})
	s.lookAround()
	o.Metrics.GetOrCreateGauge("hawthornrill_limits_accounts", func() float64 { return float64(len(s.accounts.current())) })
	o.Metrics.GetOrCreateGauge("hawthornrill_limits_owned", func() float64 { return float64(s.books.len()) })
	peer.Handle(o.Transport, methodReport, s.books.handle)
	return s
}

// Close ends the calls under way. Admit then goes by the shares that are there.
func (s *Service) Close() { s.stop() }

// Admit counts a request in under its organisation's limits, or returns an *Error.
// The answer's tokens are an estimate, settled by Permit.Release. It returns at
// once, unless this node's share is used up and the owner may have more: then it
// waits for the owner's answer, at most Options.Patience.
func (s *Service) Admit(org *config.Organisation, promptTokens, answerTokens int) (*Permit, error) {
	if org.InFlight <= 0 && org.TokensPerMinute <= 0 {
		return unlimited, nil
	}
	a := newAdmission(org, s.nodes(), promptTokens, answerTokens)
	account, err := s.try(org, a)
	if err != nil {
		account, err = s.insist(org, a, account, err)
	}
	if err != nil {
		s.refused.Inc()
		return nil, s.refusal(account, a, err)
	}
	s.admitted.Inc()
	return &Permit{account: account, cost: a.cost, tokens: a.tokens > 0}, nil
}

// try asks the organisation's account, a new one if it was just forgotten.
func (s *Service) try(org *config.Organisation, a admission) (*account, error) {
	for {
		c := s.accounts.get(org.ID, func() *account { return s.newAccount(org) })
		err := c.admit(a)
		if err != errClosed { //nolint:errorlint // never wrapped
			return c, err
		}
		s.accounts.drop([]*account{c})
	}
}

// insist asks the owner for more and tries again, as long as the owner gives more
// and patience lasts.
func (s *Service) insist(org *config.Organisation, a admission, c *account, err error) (*account, error) {
	patience := time.NewTimer(s.options.OwnerWaitTimeout)
	defer patience.Stop()
	c.waiting.Add(1)
	c.waitingTokens.Add(a.needed())
	defer c.waitingTokens.Add(-a.needed())
	defer c.waiting.Add(-1)
	for err != nil {
		call := s.ask(c)
		if call == nil {
			return c, c.admit(a)
		}
		select {
		case <-call.done:
		case <-patience.C:
			s.giveUp(c)
			return c, c.admit(a)
		}
		if err = c.admit(a); err == errClosed { //nolint:errorlint // never wrapped
			return s.try(org, a)
		}
	}
	return c, nil
}

// giveUp goes on without an owner that does not answer in time.
func (s *Service) giveUp(c *account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call != nil {
		s.cut(time.Now(), c)
	}
}

// refusal notes the refusal as demand and returns the error.
func (s *Service) refusal(c *account, a admission, err error) error {
	c.refused.Add(1)
	retry := s.options.RetryAfter
	if errors.Is(err, ErrTokenRate) {
		missing := timeFor(float64(a.needed()-c.tokens.Load()), a.tokens)
		retry = max(retry, c.share.Load().wait+missing)
	}
	return &Error{Err: err, RetryAfter: retry}
}

// newAccount returns an account of which the owner knows nothing yet.
func (s *Service) newAccount(org *config.Organisation) *account {
	now := time.Now()
	c := &account{organisation: org.ID, ratedAt: now, usedAt: now}
	s.startAnew(c, org.InFlight, org.TokensPerMinute)
	return c
}

// startAnew gives an account what it may use before the owner knows of it: an equal
// part of the tokens, and no share of the requests.
func (s *Service) startAnew(c *account, inFlight, tokensPerMinute int) {
	c.share.Store(&share{limit: inFlight, pool: pool(inFlight, s.nodes()), at: time.Now()})
	tokens := int64(tokensPerMinute / s.nodes())
	c.tokens.Store(tokens)
	c.advance.Store(tokens)
}

// nodes returns the number of live nodes, at least one.
func (s *Service) nodes() int { return max(len(s.fleet.Load().live), 1) }

// lookAround brings the fleet up to date.
func (s *Service) lookAround() *fleet {
	f := s.fleet.Load()
	view := s.options.Membership.Current()
	if view == f.view {
		return f
	}
	next := f.next(time.Now(), view, s.options.SettleTime)
	s.fleet.CompareAndSwap(f, next)
	return s.fleet.Load()
}

// self returns this node's identifier.
func (s *Service) self() domain.NodeID { return s.options.Transport.Self().Node }
