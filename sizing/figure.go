package sizing

// Parameter is a named constant that was given, set or assumed rather than fitted.
type Parameter struct {
	// Name is used in formulas.
	Name string `toml:"name"`
	// Value is the figure at the design size.
	Value float64 `toml:"value"`
	// Cucine and Pryce are the figures of today's deployments, if they differ.
	Cucine *float64 `toml:"cucine,omitempty"`
	Pryce  *float64 `toml:"pryce,omitempty"`
	// AssumedToday is true if the figures of today's deployments are not the users'
	// own but assumed.
	AssumedToday bool   `toml:"assumed_today,omitempty"`
	Unit         string `toml:"unit"`
	// Source says where a given figure stands, which setting of the code a set one
	// repeats, or why an assumed one is as it is.
	Source string `toml:"source"`
}

// At returns the figure for a deployment.
func (f Parameter) ValueFor(d Deployment) float64 {
	switch {
	case d == Cucine && f.Cucine != nil:
		return *f.Cucine
	case d == Pryce && f.Pryce != nil:
		return *f.Pryce
	default:
		return f.Value
	}
}

// Between returns the figure at a part of the way from the first user's
// deployment of today to the design size.
func (f Parameter) Interpolate(part float64) float64 {
	today := f.ValueFor(Cucine)
	return today + part*(f.Value-today)
}
