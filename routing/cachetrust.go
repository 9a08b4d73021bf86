package routing

const (
	// cacheTrustLearnRate is the weight of a new sample in the moving average.
	cacheTrustLearnRate = 0.1
	// minCacheTrust preserves some prefix affinity for endpoints whose results never confirm a cache
	// hit.
	minCacheTrust = 0.3
)

// CacheTrust is a moving average of the fraction of predicted cached tokens that results confirm.
// Cache events have gaps, so an endpoint may hold less than the prefix table suggests.
type CacheTrust struct {
	distrust float64
}

// Observe records the predicted number of cached tokens and the number reported by the endpoint.
func (t *CacheTrust) Observe(predicted, reported float64) {
	if predicted <= 0 {
		return
	}
	confirmed := min(reported/predicted, 1)
	t.distrust += cacheTrustLearnRate * (1 - confirmed - t.distrust)
}

// Fraction returns the confirmed fraction, between minCacheTrust and 1.
func (t *CacheTrust) Fraction() float64 { return max(1-t.distrust, minCacheTrust) }
