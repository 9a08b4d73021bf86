package sizing

// Event is something that happens to the fleet, with what it costs, how long it
// takes to settle and what callers see meanwhile.
type Event struct {
	Name string
	// Mechanism is what carries the event.
	Mechanism string
	// Callers is what callers see.
	Callers  string
	Measures []Measure
}

// Measure is one figure of an event.
type Measure struct {
	What    string
	Unit    Unit
	Formula Formula
}
