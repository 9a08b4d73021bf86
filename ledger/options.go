package ledger

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

// Tables gives the ledger tables that this node knows.
type Tables interface {
	// Table returns the data centre's latest known table, or nil. It does not block.
	Table(dataCentre domain.DataCentre) *Table
	// Subscribe calls notify, from any goroutine, after a data centre's table has
	// changed, until cancel is called.
	Subscribe(notify func(domain.DataCentre)) (cancel func())
}

// TableEditor changes the agreed table of this node's data centre.
type TableEditor interface {
	// Edit applies the change to the latest table and stores it. After an error the
	// change may or may not be in force.
	Edit(ctx context.Context, change TableChange) (*Table, error)
}

// Options configure a Replica. Transport and Tables are needed.
type Options struct {
	Transport peer.Transport
	Tables    Tables
	// Editor records settlements; without one they are not recorded, and two losses
	// within LossWindow make keys uncertain even if far apart.
	Editor TableEditor
	// Membership tells which lives outside the data centre's table are gone, and
	// where lives of node-scope keys are reached. Without it none is known.
	Membership membership.View
	Metrics    *metrics.Set
	Logger     zerolog.Logger

	// CallTimeout bounds each operation, retries included.
	CallTimeout time.Duration
	// TryTimeout bounds each message of an operation.
	TryTimeout time.Duration
	// RetryDelay is the pause before an operation is tried again.
	RetryDelay time.Duration
	// Retention is how long a record is kept after its request ended.
	Retention time.Duration
	// MaxRecords bounds the records held for the claims of new keys. Copies held for
	// other homes are taken up to twice as many.
	MaxRecords int
	// FenceTimeout is how long a home may go on without having heard of its epoch
	// from half of the table's other members.
	FenceTimeout time.Duration
	// HolderCheckAge is the age from which a claim met by another attempt is checked
	// with its holder.
	HolderCheckAge time.Duration
	// AuditInterval is how often records that have not ended are checked.
	AuditInterval time.Duration
	// PageRecords bounds the records of one message.
	PageRecords int
}

// Defaults of Options.
const (
	DefaultCallTimeout    = 500 * time.Millisecond
	DefaultTryTimeout     = 150 * time.Millisecond
	DefaultRetryDelay     = 10 * time.Millisecond
	DefaultRetention      = 10 * time.Minute
	DefaultMaxRecords     = 100_000
	DefaultFenceTimeout   = time.Minute
	DefaultHolderCheckAge = time.Second
	DefaultAuditInterval  = time.Minute
	DefaultPageRecords    = 256
)

// withDefaults fills what is zero.
func (o Options) withDefaults() Options {
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.TryTimeout, DefaultTryTimeout)
	defaults.Set(&o.RetryDelay, DefaultRetryDelay)
	defaults.Set(&o.Retention, DefaultRetention)
	defaults.Set(&o.MaxRecords, DefaultMaxRecords)
	defaults.Set(&o.FenceTimeout, DefaultFenceTimeout)
	defaults.Set(&o.HolderCheckAge, DefaultHolderCheckAge)
	defaults.Set(&o.AuditInterval, DefaultAuditInterval)
	defaults.Set(&o.PageRecords, DefaultPageRecords)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

// secondTimeout bounds a message that a home sends while another node waits for its
// answer: several fit into that node's TryTimeout.
func (o Options) secondTimeout() time.Duration { return o.TryTimeout / maxWitnesses }

// LossWindow is how long a loss makes records uncertain: as long as a lost record
// would have been kept, and as a member that was taken out by mistake could go on
// without noticing. Defaults stand in for what is zero.
func (o Options) LossWindow() time.Duration {
	defaults.Set(&o.Retention, DefaultRetention)
	defaults.Set(&o.FenceTimeout, DefaultFenceTimeout)
	return o.Retention + 2*o.FenceTimeout
}
