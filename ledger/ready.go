package ledger

import "time"

// Ready reports whether this incarnation is in its data centre's table, has all records
// of the keys whose home it is, and may decide about them.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	return h != nil && h.table.Eligible(r.self) && r.ready == h.table.Epoch && !r.fenced(h, time.Now())
}
