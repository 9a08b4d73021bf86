package ledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

// The pause before an unfinished recovery continues doubles from firstRecoveryRetry to
// lastRecoveryRetry, and is reset in each epoch.
const (
	firstRecoveryRetry = 50 * time.Millisecond
	lastRecoveryRetry  = 5 * time.Second
)

// Run follows the tables, recovers after changes and audits old records until the
// context ends. It returns the context's error.
func (r *Replica) Run(ctx context.Context) error {
	cancel := r.options.Tables.Subscribe(r.tableChanged)
	defer r.stop()
	defer cancel()
	r.tableChanged(r.self.DataCentre)
	var group errgroup.Group
	group.Go(func() error { return r.recoverOnChange(ctx) })
	group.Go(func() error { return pacing.Every(ctx, r.options.FenceTimeout/4, func() { r.confirmAll(ctx) }) })
	group.Go(func() error { return pacing.Every(ctx, r.options.AuditInterval, func() { r.audit(ctx) }) })
	return group.Wait()
}

// recoverOnChange runs the current recovery until it is done, and again after each
// change.
func (r *Replica) recoverOnChange(ctx context.Context) error {
	retry := time.NewTimer(0)
	defer retry.Stop()
	pause, epoch := firstRecoveryRetry, uint64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-retry.C:
		}
		if now := r.epoch(); now != epoch {
			pause, epoch = firstRecoveryRetry, now
		}
		if r.recover(ctx) {
			retry.Reset(pause)
			pause = min(2*pause, lastRecoveryRetry)
		}
	}
}

// tableChanged adopts the latest table if it is that of the local data centre.
func (r *Replica) tableChanged(dataCentre domain.DataCentre) {
	if dataCentre == r.self.DataCentre {
		r.adopt(r.options.Tables.Table(dataCentre))
	}
}
