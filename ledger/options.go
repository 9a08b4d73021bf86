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

// Tables provides the ledger tables that this node knows.
type Tables interface {
	// Table returns the data centre's latest known table, or nil. It does not block.
	Table(dataCentre domain.DataCentre) *Table
	// Subscribe calls notify, from any goroutine, after a data centre's table has
	// changed, until cancel is called.
	Subscribe(notify func(domain.DataCentre)) (cancel func())
}

// TableEditor changes the shared table of this node's data centre.
type TableEditor interface {
	// Edit applies the change to the latest table and stores it. After an error the
	// change may or may not be in force.
	Edit(ctx context.Context, change TableChange) (*Table, error)
}

// Options configure a Replica. Transport and Tables are required.
type Options struct {
	Transport peer.Transport
	Tables    Tables
	// Editor records settlements. Without it they are not recorded, and two losses
	// within LossWindow make keys uncertain even if far apart.
	Editor TableEditor
	// Membership reports which incarnations outside the data centre's table have ended,
	// and where the incarnations of node-scope keys are reached. Without it none is known.
	Membership membership.View
	Metrics    *metrics.Set
	Logger     zerolog.Logger

	// CallTimeout bounds each operation, retries included.
	CallTimeout time.Duration
	// TryTimeout bounds each try of an operation.
	TryTimeout time.Duration
	// RetryDelay is the pause between tries.
	RetryDelay time.Duration
	// Retention is how long a record is kept after its request ended.
	Retention time.Duration
	// MaxRecords is the number of records from which claims on new keys are refused.
	// Copies for other homes are accepted up to twice the number.
	MaxRecords int
	// FenceTimeout is how long a home may go on without a confirmation of its epoch
	// from half of the table's other members.
	FenceTimeout time.Duration
	// HolderCheckAge is the age from which a claim found by another attempt is verified
	// with its holder.
	HolderCheckAge time.Duration
	// AuditInterval is the interval between checks of records that have not ended.
	AuditInterval time.Duration
	// PageRecords is the maximum number of records per message.
	PageRecords int
}

// Default values of Options.
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

// withDefaults replaces zero values by defaults.
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

// nestedTimeout bounds a call that a home makes while another node waits for its reply,
// so that several of them fit into that node's TryTimeout.
func (o Options) nestedTimeout() time.Duration { return o.TryTimeout / maxWitnesses }

// LossWindow is how long a loss makes records uncertain: the time for which a lost
// record would have been kept, and for which a member removed by mistake could go on
// without noticing. Zero values are replaced by defaults.
func (o Options) LossWindow() time.Duration {
	defaults.Set(&o.Retention, DefaultRetention)
	defaults.Set(&o.FenceTimeout, DefaultFenceTimeout)
	return o.Retention + 2*o.FenceTimeout
}
