package sizing

// Event is something that happens to the fleet, with what it costs, how long it
// takes to settle and what callers see meanwhile.
type Event struct {
	Name string
	// Mechanism is what carries the event.
	Mechanism string
	// Callers is what callers see.
	CallerImpact string
	Estimates    []Estimate
}

// Estimate is one figure of an event.
type Estimate struct {
	Description string
	Unit        Unit
	Formula     Formula
}
