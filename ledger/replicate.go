package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// replicateAll sends every record of this home that no other eligible member holds to a
// witness. It reports whether that is complete for the epoch.
func (r *Replica) replicateAll(ctx context.Context, epoch uint64) bool {
	for {
		batches, current := r.unreplicated(epoch)
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
			r.noteReplicated(epoch, witness, entries)
		}
	}
}

// unreplicated returns records that need a second copy, by the member that is to hold
// it, at most one page each. It is empty when all are replicated or there is no other
// member.
func (r *Replica) unreplicated(epoch uint64) (batches map[domain.Member][]entry, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.epoch != epoch {
		return nil, false
	}
	if r.recovery.replicated {
		return nil, true
	}
	h := r.recovery.history
	batches = make(map[domain.Member][]entry)
	now := time.Now()
	for key, rec := range r.records.byKey {
		if r.isReplicated(h, key, rec) {
			continue
		}
		candidates := r.witnessCandidatesLocked(h, key)
		if len(candidates) > 0 && len(batches[candidates[0]]) < r.options.PageRecords {
			batches[candidates[0]] = append(batches[candidates[0]], r.records.toEntry(key, rec, now))
		}
	}
	r.recovery.replicated = len(batches) == 0
	return batches, true
}

// isReplicated reports whether a record needs no further copy. The lock is held.
func (r *Replica) isReplicated(h *history, key KeyHash, rec record) bool {
	if !rec.tableScoped() || rec.state == StateClaimed || rec.state == stateWithdrawn {
		return true
	}
	if home, ok := h.home(key); !ok || !home.SameIncarnation(r.self) {
		return true
	}
	if rec.has(flagPending) || rec.witness == 0 {
		return false
	}
	return h.table.Eligible(r.records.members.value(rec.witness))
}

// noteReplicated records that a member holds the entries.
func (r *Replica) noteReplicated(epoch uint64, witness domain.Member, entries []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.epoch != epoch {
		return
	}
	for _, e := range entries {
		if rec, ok := r.records.get(e.Key); ok && rec.claim == e.Claim {
			r.noteWitness(e.Key, witness)
		}
	}
	r.meters.mirroredAgain.Add(len(entries))
}
