package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// protectAll gives every record of this home that no other eligible member holds
// to another one. It reports whether that is done for the epoch.
func (r *Replica) protectAll(ctx context.Context, epoch uint64) bool {
	for {
		batches, current := r.unprotected(epoch)
		if !current {
			return false
		}
		if len(batches) == 0 {
			return true
		}
		for witness, entries := range batches {
			if r.mirror(ctx, witness, epoch, entries) != statusOK {
				return false
			}
			r.protectedBy(epoch, witness, entries)
		}
	}
}

// unprotected returns records that need a second copy, by who is to hold it, a
// page for each at most. It is empty when all is done or nobody else is there.
func (r *Replica) unprotected(epoch uint64) (batches map[domain.Member][]entry, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.epoch != epoch {
		return nil, false
	}
	if r.recovery.protected {
		return nil, true
	}
	h := r.recovery.history
	batches = make(map[domain.Member][]entry)
	now := time.Now()
	for key, rec := range r.book.records {
		if r.isProtected(h, key, rec) {
			continue
		}
		others := r.others(h, key)
		if len(others) > 0 && len(batches[others[0]]) < r.options.PageRecords {
			batches[others[0]] = append(batches[others[0]], r.book.export(key, rec, now))
		}
	}
	r.recovery.protected = len(batches) == 0
	return batches, true
}

// isProtected reports whether a record needs no further copy. The lock is held.
func (r *Replica) isProtected(h *history, key KeyHash, rec record) bool {
	if !rec.tabled() || rec.state == StateClaimed || rec.state == stateWithdrawn {
		return true
	}
	if home, ok := h.home(key); !ok || !home.SameIncarnation(r.self) {
		return true
	}
	if rec.has(flagPending) || rec.witness == 0 {
		return false
	}
	return h.table.Eligible(r.book.members.value(rec.witness))
}

// protectedBy notes that a member holds the entries.
func (r *Replica) protectedBy(epoch uint64, witness domain.Member, entries []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.epoch != epoch {
		return
	}
	for _, e := range entries {
		if rec, ok := r.book.get(e.Key); ok && rec.claim == e.Claim {
			r.noteWitness(e.Key, witness)
		}
	}
	r.meters.protected.Add(len(entries))
}
