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

// Options are the parts and the numbers of a Service. Zero numbers are replaced
// by the defaults below.
type Options struct {
	Transport  peer.Transport
	Membership membership.View
	Config     config.View
	// NewChooser makes the Chooser of a pool group that this node comes to own.
	// Nil stands for NewLeastOutstanding.
	NewChooser func() Chooser
	// Metrics is where counters are registered; nil for a set of its own.
	Metrics *metrics.Set
	Logger  zerolog.Logger

	// QueueBound is the most asks that wait at one owner for one pool group.
	QueueBound int
	// LookAhead is the most asks of one pool that are passed over, because they
	// can't use the free places, in one search for the next ask to serve.
	LookAhead int
	// Tick is the interval at which an owner looks at deadlines, and a client at
	// changes of owner.
	Tick time.Duration
	// RenewEvery is the interval of renewals, one message per node and owner.
	RenewEvery time.Duration
	// GrantTTL is how long an owner keeps the grants and asks of a holder that it
	// does not hear of. It is the grace window within which two owners may
	// over-grant.
	GrantTTL time.Duration
	// Settle is the longest a new owner waits for the holders' registrations
	// before it grants.
	Settle time.Duration
	// ConfirmAfter is how old a grant or ask must be before its absence from the
	// holder's list counts; younger ones may have crossed the list on the way.
	ConfirmAfter time.Duration
	// AimMargin is how long before the last useful moment for the first token a
	// place is sought by other means than waiting.
	AimMargin time.Duration
	// DeadlineMargin is the same for the deadline.
	DeadlineMargin time.Duration
	// Hopeless is the part of a forecast that must exceed the time left before an
	// ask is refused for it, though a place is free.
	Hopeless float64
	// RevokeRepeat is the interval at which a revocation is repeated, and after
	// which another grant is revoked for the same ask.
	RevokeRepeat time.Duration
	// SeekTimeout is how long an owner waits for a client that asks other data
	// centres.
	SeekTimeout time.Duration
	// CallTimeout bounds a call to an owner.
	CallTimeout time.Duration
	// QuoteTimeout bounds the questions to the owners of other data centres.
	QuoteTimeout time.Duration
	// QuoteAge is how long their answers are used again for the lowest tier.
	QuoteAge time.Duration
	// RetryEvery is the interval at which an owner that does not reply is asked
	// again.
	RetryEvery time.Duration
	// OwnerPatience is how long an owner may fail to reply before other data
	// centres are asked.
	OwnerPatience time.Duration
	// MaxMoves bounds how often one ask moves between data centres.
	MaxMoves int
}

// The defaults of Options.
const (
	DefaultQueueBound     = 10000
	DefaultLookAhead      = 16
	DefaultTick           = 50 * time.Millisecond
	DefaultRenewEvery     = 4 * time.Second
	DefaultGrantTTL       = 12 * time.Second
	DefaultSettle         = time.Second
	DefaultConfirmAfter   = time.Second
	DefaultAimMargin      = 100 * time.Millisecond
	DefaultDeadlineMargin = 500 * time.Millisecond
	DefaultHopeless       = 0.8
	DefaultRevokeRepeat   = 500 * time.Millisecond
	DefaultSeekTimeout    = time.Second
	DefaultCallTimeout    = time.Second
	DefaultQuoteTimeout   = 300 * time.Millisecond
	DefaultQuoteAge       = 250 * time.Millisecond
	DefaultRetryEvery     = 200 * time.Millisecond
	DefaultOwnerPatience  = time.Second
	DefaultMaxMoves       = 3
)

// withDefaults returns the options with every zero replaced.
func (o Options) withDefaults() Options {
	if o.NewChooser == nil {
		o.NewChooser = func() Chooser { return NewLeastOutstanding() }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults.Set(&o.QueueBound, DefaultQueueBound)
	defaults.Set(&o.LookAhead, DefaultLookAhead)
	defaults.Set(&o.Tick, DefaultTick)
	defaults.Set(&o.RenewEvery, DefaultRenewEvery)
	defaults.Set(&o.GrantTTL, DefaultGrantTTL)
	defaults.Set(&o.Settle, DefaultSettle)
	defaults.Set(&o.ConfirmAfter, DefaultConfirmAfter)
	defaults.Set(&o.AimMargin, DefaultAimMargin)
	defaults.Set(&o.DeadlineMargin, DefaultDeadlineMargin)
	defaults.Set(&o.Hopeless, DefaultHopeless)
	defaults.Set(&o.RevokeRepeat, DefaultRevokeRepeat)
	defaults.Set(&o.SeekTimeout, DefaultSeekTimeout)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.QuoteTimeout, DefaultQuoteTimeout)
	defaults.Set(&o.QuoteAge, DefaultQuoteAge)
	defaults.Set(&o.RetryEvery, DefaultRetryEvery)
	defaults.Set(&o.OwnerPatience, DefaultOwnerPatience)
	defaults.Set(&o.MaxMoves, DefaultMaxMoves)
	return o
}
