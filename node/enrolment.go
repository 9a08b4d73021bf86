package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/membership"
)

const (
	// enrolInterval is how often a node compares the ledger table with the membership.
	enrolInterval = 2 * time.Second
	// enrolRetryDelay is the delay before an edit of the table that failed is retried.
	enrolRetryDelay = time.Second
	// departTimeout bounds the hand-over of the ledger records, which can't complete
	// while the store is down.
	departTimeout = 30 * time.Second
	// departPollInterval is how often a leaving node checks whether its records have
	// been collected.
	departPollInterval = 50 * time.Millisecond
)

// enrolment keeps this node in the ledger table of its data centre while it runs,
// and removes incarnations that are gone.
type enrolment struct {
	self    domain.Member
	tables  *tables
	members membership.View
	log     zerolog.Logger
}

// run enrols the node and maintains the table until ctx is done.
func (e *enrolment) run(ctx context.Context) error {
	ticker := time.NewTicker(enrolInterval)
	defer ticker.Stop()
	for {
		wait := e.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wait:
		case <-ticker.C:
		}
	}
}

// step applies the next pending change, if any. The returned channel is ready when
// step should be called again, and nil if nothing is pending.
func (e *enrolment) step(ctx context.Context) <-chan time.Time {
	change := e.nextChange()
	if change == nil {
		return nil
	}
	before := e.tables.Table(e.self.DataCentre)
	if _, err := e.tables.Edit(ctx, change); err != nil && ctx.Err() == nil {
		e.log.Warn().Err(err).Msg("ledger table update failed")
		return time.After(enrolRetryDelay)
	}
	if e.tables.Table(e.self.DataCentre) == before {
		// The store already has the change, but this node has not received it yet.
		return time.After(enrolRetryDelay)
	}
	return time.After(0)
}

// nextChange returns the next change the table needs, or nil.
func (e *enrolment) nextChange() ledger.TableChange {
	table := e.tables.Table(e.self.DataCentre)
	if table == nil || !table.Contains(e.self) {
		return ledger.Join(e.self)
	}
	for _, m := range table.Members {
		if e.gone(m.Member) && e.responsible(table, m.Member) {
			e.log.Info().Stringer("member", m.Member).Msg("removing a gone incarnation from the ledger table")
			return ledger.Remove(m.Member)
		}
	}
	return nil
}

// gone reports whether membership says that this incarnation of m has ended.
func (e *enrolment) gone(m domain.Member) bool {
	for _, p := range e.members.Current().Peers {
		if p.Node != m.Node {
			continue
		}
		return p.Incarnation > m.Incarnation || (p.SameIncarnation(m) && p.Status == membership.StatusGone)
	}
	return false
}

// responsible reports whether this node is the first alive member of the table
// other than the gone one, so that a single node edits the table.
func (e *enrolment) responsible(table *ledger.Table, gone domain.Member) bool {
	for _, m := range table.Members {
		if m.Member.SameIncarnation(gone) || e.gone(m.Member) || !e.alive(m.Member) {
			continue
		}
		return m.Member.SameIncarnation(e.self)
	}
	return false
}

func (e *enrolment) alive(m domain.Member) bool {
	for _, p := range e.members.Current().Peers {
		if p.SameIncarnation(m) {
			return p.Status == membership.StatusAlive
		}
	}
	return false
}

// depart hands over the node's records: it marks the node as leaving, waits until
// the other members hold every record, and removes the node from the table. On an
// error the records were not handed over, and the other members treat those of
// this incarnation as lost.
func (e *enrolment) depart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	table, err := e.tables.Edit(ctx, ledger.Leave(e.self))
	if err != nil {
		return err
	}
	if hasStayingMember(table) {
		if err := e.awaitHandOver(ctx, table.Epoch); err != nil {
			return err
		}
	}
	_, err = e.tables.Edit(ctx, ledger.Remove(e.self))
	return err
}

// hasStayingMember reports whether the table has a member that is not leaving and
// can take over the records.
func hasStayingMember(table *ledger.Table) bool {
	return slices.ContainsFunc(table.Members, func(m ledger.TableMember) bool { return m.Leaving == 0 })
}

// awaitHandOver waits until the table states that every record has two holders
// other than this node.
func (e *enrolment) awaitHandOver(ctx context.Context, epoch uint64) error {
	ticker := time.NewTicker(departPollInterval)
	defer ticker.Stop()
	for {
		table := e.tables.Table(e.self.DataCentre)
		if table != nil && (table.Settled() >= epoch || !hasStayingMember(table)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(errors.New("node: ledger records were not handed over in time"), ctx.Err())
		case <-ticker.C:
		}
	}
}
