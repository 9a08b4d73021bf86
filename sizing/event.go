package sizing

// Event is a failure or a change in the fleet, with its cost, the time until the fleet
// has recovered and the effect on callers until then.
type Event struct {
	Name string
	// Mechanism is how the fleet detects and handles the event.
	Mechanism string
	// CallerImpact is what callers observe.
	CallerImpact string
	Estimates    []Estimate
}

// Estimate is one computed cost or duration of an event.
type Estimate struct {
	Description string
	Unit        Unit
	Formula     Formula
}
