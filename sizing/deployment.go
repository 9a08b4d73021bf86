package sizing

// Deployment selects the set of sizes that the costs are computed for.
type Deployment uint8

const (
	// Design is the size that the users plan for.
	Design Deployment = iota
	// Cucine is the first user's current deployment.
	Cucine
	// Pryce is the second user's current deployment.
	Pryce
)

// String returns the deployment's column heading in the tables.
func (d Deployment) String() string {
	switch d {
	case Cucine:
		return "Cucine today"
	case Pryce:
		return "Pryce today"
	default:
		return "design"
	}
}
