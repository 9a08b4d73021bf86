package sizing

// Deployment is a set of sizes that the sums are worked out for.
type Deployment uint8

const (
	// Design is the size that the users design for.
	Design Deployment = iota
	// Cucine is the first user's deployment of today.
	Cucine
	// Pryce is the second user's deployment of today.
	Pryce
)

// String returns the deployment's name as the page prints it.
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
