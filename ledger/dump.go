package ledger

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Dump is a Replica's state as operators may see it. It names no keys.
type Dump struct {
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch"`
	Settled  uint64 `json:"settled"`
	// Ready is the epoch up to which this member knows all records of its keys.
	Ready   uint64         `json:"ready"`
	Records int            `json:"records"`
	States  map[string]int `json:"states"`
	// Open counts the attempts of this node that have not ended.
	Open int `json:"open"`
	// Awaiting are the members that have not yet sent their records.
	Awaiting []domain.NodeID `json:"awaiting,omitempty"`
	// Fenced tells that too few members have been heard of to decide about keys.
	Fenced bool `json:"fenced"`
	// Losses are the lives whose memory was lost lately.
	Losses []LossDump `json:"losses,omitempty"`
}

// LossDump is a lost life.
type LossDump struct {
	Member string `json:"member"`
	// AgeSeconds is how long ago it was lost, or less.
	AgeSeconds float64 `json:"age_seconds"`
}

// Dump returns the state.
func (r *Replica) Dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	d := Dump{Ready: r.ready, Records: len(r.book.records), States: make(map[string]int), Open: len(r.open)}
	for _, rec := range r.book.records {
		d.States[rec.state.String()]++
	}
	d.Awaiting = r.awaitedLocked()
	if h := r.history.Load(); h != nil {
		d.Revision, d.Epoch, d.Settled = h.table.Revision, h.table.Epoch, h.table.Settled()
		d.Fenced = r.fenced(h, now)
		age := r.lossAge(now)
		for _, loss := range h.losses {
			d.Losses = append(d.Losses, LossDump{loss.TableMember.Member.String(), age(loss).Seconds()})
		}
	}
	return d
}

// recordCount returns how many records are held.
func (r *Replica) recordCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.book.records)
}

// awaited returns the members that have not yet sent their records.
func (r *Replica) awaited() []domain.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaitedLocked()
}

// awaitedLocked is awaited with the lock held.
func (r *Replica) awaitedLocked() []domain.NodeID {
	if r.recovery == nil {
		return nil
	}
	var nodes []domain.NodeID
	for m := range r.recovery.pending {
		nodes = append(nodes, m.Node)
	}
	slices.Sort(nodes)
	return nodes
}
