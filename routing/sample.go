package routing

// Sample is the timing of one finished request.
type Sample struct {
	// Work is the number of prompt tokens computed before the first token, including those queued
	// ahead.
	Work float64
	// FirstToken is the seconds to the first token, 0 if there was none.
	FirstToken float64
	// Batch is the mean number of requests on the endpoint, including this one.
	Batch float64
	// DecodeTokens is the number of tokens after the first, DecodeSeconds the time they took.
	DecodeTokens  int
	DecodeSeconds float64
}

// expected returns the seconds that the speed predicts for the sample.
func (s Sample) expected(speed Speed) float64 {
	return speed.FirstToken.At(s.Work) + float64(s.DecodeTokens)*speed.Interval.At(s.Batch)
}

// ratio returns the observed time divided by the expected time.
func (s Sample) ratio(speed Speed) float64 {
	return (s.FirstToken + s.DecodeSeconds) / max(s.expected(speed), 1e-6)
}
