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
	// enrolEvery is the interval at which a node compares the ledger table with the
	// members.
	enrolEvery = 2 * time.Second
	// enrolRetry is the pause after an edit of the table that failed.
	enrolRetry = time.Second
	// departTimeout bounds the handing over of the records. The others can't take
	// them over while the store is down.
	departTimeout = 30 * time.Second
	// departPoll is the interval at which a leaving node looks whether its records
	// have been collected.
	departPoll = 50 * time.Millisecond
)

// enrolment keeps this node in its data centre's ledger table while it lives, and
// takes lives out that are gone.
type enrolment struct {
	self    domain.Member
	tables  *tables
	members membership.View
	log     zerolog.Logger
}

// run enrols the node and watches the table until the context ends.
func (e *enrolment) run(ctx context.Context) error {
	ticker := time.NewTicker(enrolEvery)
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

// step makes the change that is due, if any. It returns a channel that is ready
// when a failed one should be tried again.
func (e *enrolment) step(ctx context.Context) <-chan time.Time {
	change := e.due()
	if change == nil {
		return nil
	}
	before := e.tables.Table(e.self.DataCentre)
	if _, err := e.tables.Edit(ctx, change); err != nil && ctx.Err() == nil {
		e.log.Warn().Err(err).Msg("ledger table not changed")
		return time.After(enrolRetry)
	}
	if e.tables.Table(e.self.DataCentre) == before {
		// The store has the change already, and this node has not heard of it yet.
		return time.After(enrolRetry)
	}
	return time.After(0)
}

// due returns the next change that the table needs, or nil.
func (e *enrolment) due() ledger.TableChange {
	table := e.tables.Table(e.self.DataCentre)
	if table == nil || !table.Contains(e.self) {
		return ledger.Join(e.self)
	}
	for _, m := range table.Members {
		if e.gone(m.Member) && e.responsible(table, m.Member) {
			e.log.Info().Stringer("member", m.Member).Msg("taking a life that is gone out of the ledger table")
			return ledger.Remove(m.Member)
		}
	}
	return nil
}

// gone reports whether the members say that this very life has ended.
func (e *enrolment) gone(m domain.Member) bool {
	for _, p := range e.members.Current().Peers {
		if p.Node != m.Node {
			continue
		}
		return p.Incarnation > m.Incarnation || (p.SameIncarnation(m) && p.Status == membership.StatusGone)
	}
	return false
}

// responsible reports whether this node is the first live member of the table
// other than the one that is gone, so that one node edits and not all.
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

// depart hands the node's records over: it leaves the table, waits until the
// others hold every record, and is then removed. The error says why the records
// were not handed over; the others then count this life's memory as lost.
func (e *enrolment) depart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	left, err := e.tables.Edit(ctx, ledger.Leave(e.self))
	if err != nil {
		return err
	}
	if staying(left) {
		if err := e.awaitSettled(ctx, left.Epoch); err != nil {
			return err
		}
	}
	_, err = e.tables.Edit(ctx, ledger.Remove(e.self))
	return err
}

// staying reports whether the table has a member that is not leaving, which takes
// the records over.
func staying(table *ledger.Table) bool {
	return slices.ContainsFunc(table.Members, func(m ledger.TableMember) bool { return m.Leaving == 0 })
}

// awaitSettled waits until the table records that every record is held twice
// without this node.
func (e *enrolment) awaitSettled(ctx context.Context, epoch uint64) error {
	ticker := time.NewTicker(departPoll)
	defer ticker.Stop()
	for {
		table := e.tables.Table(e.self.DataCentre)
		if table != nil && (table.Settled() >= epoch || !staying(table)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(errors.New("node: the ledger's records were not handed over in time"), ctx.Err())
		case <-ticker.C:
		}
	}
}
