package routing

// Sample is what one finished request tells of its endpoint's speed.
type Sample struct {
	// Work is the prompt tokens computed before the first token, those ahead included.
	Work float64
	// First is the seconds to the first token, 0 if none came.
	FirstToken float64
	// Batch is the mean number of requests at the endpoint, this one included.
	Batch float64
	// Tokens is the number of tokens after the first, Rest the seconds they took.
	DecodeTokens  int
	DecodeSeconds float64
}

// expected returns the seconds that the speed gives for the sample's work.
func (s Sample) expected(speed Speed) float64 {
	return speed.FirstToken.At(s.Work) + float64(s.DecodeTokens)*speed.Interval.At(s.Batch)
}

// ratio returns how many times as long as expected the request took.
func (s Sample) ratio(speed Speed) float64 {
	return (s.FirstToken + s.DecodeSeconds) / max(s.expected(speed), 1e-6)
}
