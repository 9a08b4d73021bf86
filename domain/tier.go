package domain

// Tier ranks requests under scarcity. Tier 0 is the highest; a greater value is
// a lower tier.
type Tier uint8

// Above reports whether t must be served before o.
func (t Tier) Above(o Tier) bool { return t < o }
