package sizing

// Parameter is a named constant that was stated, configured or assumed rather than
// fitted.
type Parameter struct {
	// Name is the identifier in formulas.
	Name string `toml:"name"`
	// Value is the value at the design size.
	Value float64 `toml:"value"`
	// Cucine and Pryce are the values of the current deployments, if they differ from
	// Value.
	Cucine *float64 `toml:"cucine,omitempty"`
	Pryce  *float64 `toml:"pryce,omitempty"`
	// AssumedToday is true if the values of the current deployments are assumed and not
	// stated by the users.
	AssumedToday bool   `toml:"assumed_today,omitempty"`
	Unit         string `toml:"unit"`
	// Source is the document that states the value, the setting of the code that it
	// repeats, or the reason for an assumed value.
	Source string `toml:"source"`
}

// ValueFor returns the value for a deployment: Value if the deployment has none of its
// own.
func (p Parameter) ValueFor(d Deployment) float64 {
	switch {
	case d == Cucine && p.Cucine != nil:
		return *p.Cucine
	case d == Pryce && p.Pryce != nil:
		return *p.Pryce
	default:
		return p.Value
	}
}

// Interpolate returns the value at a fraction of the growth from the first user's
// current deployment (0) to the design size (1), linearly.
func (p Parameter) Interpolate(fraction float64) float64 {
	current := p.ValueFor(Cucine)
	return current + fraction*(p.Value-current)
}
