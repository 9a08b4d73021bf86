package domain

// Tier is the priority of requests when capacity is scarce. Tier 0 is the highest;
// a greater value is a lower tier.
type Tier uint8

// Above reports whether t has priority over o.
func (t Tier) Above(o Tier) bool { return t < o }
