package routing

// Health is whether an endpoint may be used after failures.
type Health uint8

const (
	// HealthInService endpoints may be used.
	HealthInService Health = iota
	// HealthEjected endpoints are out of service for a time.
	HealthEjected
	// HealthProbation endpoints may be tried by one request at a time.
	HealthProbation
)

// String returns the name for logs and dumps.
func (h Health) String() string {
	return [...]string{"in_service", "ejected", "probation"}[h]
}
