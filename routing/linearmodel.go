package routing

// LinearModel is a duration that grows linearly with an amount: Base seconds plus Slope seconds per
// unit.
type LinearModel struct {
	Base  float64 `json:"base_seconds"`
	Slope float64 `json:"seconds_per_unit"`
}

// At returns the predicted seconds for an amount.
func (l LinearModel) At(amount float64) float64 { return l.Base + l.Slope*amount }
