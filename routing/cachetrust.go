package routing

const (
	// trustRate is the part by which a sample moves the trust.
	trustRate = 0.1
	// trustLeast keeps some preference for endpoints whose reports never confirm
	// anything.
	trustLeast = 0.3
)

// CacheTrust is the part of the predicted cached tokens that results have confirmed:
// cache events have gaps, so the endpoint holds less than is thought.
type CacheTrust struct {
	distrust float64
}

// Observe takes a prediction and what the endpoint reported.
func (t *CacheTrust) Observe(predicted, reported float64) {
	if predicted <= 0 {
		return
	}
	confirmed := min(reported/predicted, 1)
	t.distrust += trustRate * (1 - confirmed - t.distrust)
}

// Part returns the part between trustLeast and 1.
func (t *CacheTrust) Fraction() float64 { return max(1-t.distrust, trustLeast) }
