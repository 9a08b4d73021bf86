package capacity

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

// Options configures a Service. Zero numbers are replaced by the defaults below.
type Options struct {
	Transport  peer.Transport
	Membership membership.View
	Config     config.View
	// NewChooser creates the Chooser of a pool group that this node comes to own. Nil
	// stands for NewLeastOutstanding.
	NewChooser func() Chooser
	// Metrics is where the counters are registered; nil for a new set.
	Metrics *metrics.Set
	Logger  zerolog.Logger

	// QueueLimit is the most requests queued at one owner for one pool group.
	QueueLimit int
	// LookAhead is the most requests of one pool that are skipped, because they can't
	// use the free slots, in one scheduling round.
	LookAhead int
	// Tick is the interval at which an owner checks deadlines, and a client checks for
	// changes of owner.
	Tick time.Duration
	// RenewInterval is the interval between renewals, one message per node and owner.
	RenewInterval time.Duration
	// GrantTTL is how long an owner keeps the grants and requests of a holder that has
	// sent nothing. It is the grace period within which two owners may together exceed
	// an endpoint's limit.
	GrantTTL time.Duration
	// SettleTimeout is the longest that a new owner waits for the holders'
	// registrations before it grants.
	SettleTimeout time.Duration
	// ListGracePeriod is how old a grant or request must be before its absence from the
	// holder's list counts; a younger one may have crossed the list in transit.
	ListGracePeriod time.Duration
	// FirstTokenMargin is how long before the first-token target becomes unreachable
	// the owner seeks a slot by other means than waiting.
	FirstTokenMargin time.Duration
	// DeadlineMargin is the same for the deadline.
	DeadlineMargin time.Duration
	// ForecastFactor is the fraction of a forecast that must exceed the time left
	// before a request is refused because of it, even though a slot is free.
	ForecastFactor float64
	// RevokeInterval is the interval at which a revocation is repeated, and after which
	// another grant is revoked for the same request.
	RevokeInterval time.Duration
	// SearchTimeout is how long an owner waits for a client that tries other data
	// centres.
	SearchTimeout time.Duration
	// CallTimeout bounds a call to an owner.
	CallTimeout time.Duration
	// QuoteTimeout bounds the quote calls to the owners of other data centres.
	QuoteTimeout time.Duration
	// QuoteTTL is how long quotes are cached for the lowest tier.
	QuoteTTL time.Duration
	// RetryInterval is the interval at which calls to an owner that does not reply are
	// repeated.
	RetryInterval time.Duration
	// OwnerFailureTimeout is how long an owner may fail to reply before other data
	// centres are tried.
	OwnerFailureTimeout time.Duration
	// MaxMoves bounds how often one request moves between data centres.
	MaxMoves int
}

// The defaults of Options.
const (
	DefaultQueueLimit          = 10000
	DefaultLookAhead           = 16
	DefaultTick                = 50 * time.Millisecond
	DefaultRenewInterval       = 4 * time.Second
	DefaultGrantTTL            = 12 * time.Second
	DefaultSettleTimeout       = time.Second
	DefaultListGracePeriod     = time.Second
	DefaultFirstTokenMargin    = 100 * time.Millisecond
	DefaultDeadlineMargin      = 500 * time.Millisecond
	DefaultForecastFactor      = 0.8
	DefaultRevokeInterval      = 500 * time.Millisecond
	DefaultSearchTimeout       = time.Second
	DefaultCallTimeout         = time.Second
	DefaultQuoteTimeout        = 300 * time.Millisecond
	DefaultQuoteTTL            = 250 * time.Millisecond
	DefaultRetryInterval       = 200 * time.Millisecond
	DefaultOwnerFailureTimeout = time.Second
	DefaultMaxMoves            = 3
)

// withDefaults returns the options with every zero replaced.
func (o Options) withDefaults() Options {
	if o.NewChooser == nil {
		o.NewChooser = func() Chooser { return NewLeastOutstanding() }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.QueueLimit, DefaultQueueLimit)
	defaults.Set(&o.LookAhead, DefaultLookAhead)
	defaults.Set(&o.Tick, DefaultTick)
	defaults.Set(&o.RenewInterval, DefaultRenewInterval)
	defaults.Set(&o.GrantTTL, DefaultGrantTTL)
	defaults.Set(&o.SettleTimeout, DefaultSettleTimeout)
	defaults.Set(&o.ListGracePeriod, DefaultListGracePeriod)
	defaults.Set(&o.FirstTokenMargin, DefaultFirstTokenMargin)
	defaults.Set(&o.DeadlineMargin, DefaultDeadlineMargin)
	defaults.Set(&o.ForecastFactor, DefaultForecastFactor)
	defaults.Set(&o.RevokeInterval, DefaultRevokeInterval)
	defaults.Set(&o.SearchTimeout, DefaultSearchTimeout)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.QuoteTimeout, DefaultQuoteTimeout)
	defaults.Set(&o.QuoteTTL, DefaultQuoteTTL)
	defaults.Set(&o.RetryInterval, DefaultRetryInterval)
	defaults.Set(&o.OwnerFailureTimeout, DefaultOwnerFailureTimeout)
	defaults.Set(&o.MaxMoves, DefaultMaxMoves)
	return o
}
