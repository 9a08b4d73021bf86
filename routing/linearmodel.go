package routing

// LinearModel is a time that grows with an amount: Base seconds, and Slope seconds for
// each unit.
type LinearModel struct {
	Base  float64 `json:"base_seconds"`
	Slope float64 `json:"seconds_per_unit"`
}

// At returns the seconds for an amount.
func (l LinearModel) At(amount float64) float64 { return l.Base + l.Slope*amount }
