package ledger

import "time"

// Ready reports whether this life is in its data centre's table, knows all records
// of the keys that it is home of, and may decide about them.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	return h != nil && h.table.Eligible(r.self) && r.ready == h.table.Epoch && !r.fenced(h, time.Now())
}
