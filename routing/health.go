package routing

// Health is the availability of an endpoint with regard to failures.
type Health uint8

const (
	// HealthInService means that the endpoint may be used.
	HealthInService Health = iota
	// HealthEjected means that the endpoint is temporarily out of service.
	HealthEjected
	// HealthProbation means that the endpoint may be probed by one request at a time.
	HealthProbation
)

// String returns the name used in logs and dumps.
func (h Health) String() string {
	return [...]string{"in_service", "ejected", "probation"}[h]
}
