package ledger

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Dump is the state of a Replica as shown to operators. It contains no keys.
type Dump struct {
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch"`
	Settled  uint64 `json:"settled"`
	// Ready is the epoch up to which this member has all records of its keys.
	Ready   uint64         `json:"ready"`
	Records int            `json:"records"`
	States  map[string]int `json:"states"`
	// Open counts the attempts of this node that have not ended.
	Open int `json:"open"`
	// Awaiting are the members that have not sent all their records yet.
	Awaiting []domain.NodeID `json:"awaiting,omitempty"`
	// Fenced is set if too few members have confirmed the epoch for this one to decide
	// about keys.
	Fenced bool `json:"fenced"`
	// Losses are the incarnations whose records were lost within the window.
	Losses []LossDump `json:"losses,omitempty"`
}

// LossDump describes a lost incarnation.
type LossDump struct {
	Member string `json:"member"`
	// AgeSeconds is a lower bound on the time since the loss.
	AgeSeconds float64 `json:"age_seconds"`
}

func (r *Replica) Dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	d := Dump{Ready: r.ready, Records: len(r.records.byKey), States: make(map[string]int), Open: len(r.open)}
	for _, rec := range r.records.byKey {
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

func (r *Replica) recordCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records.byKey)
}

// awaited returns the members that have not sent all their records yet.
func (r *Replica) awaited() []domain.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaitedLocked()
}

// awaitedLocked is awaited for callers that hold the lock.
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
