package routing

// Estimate is the predicted cost of serving the request on a candidate. Times are in seconds.
type Estimate struct {
	// CachedTokens is the number of prompt tokens expected to be in the endpoint's prefix cache.
	CachedTokens float64
	// Work is the number of prompt tokens to compute before the first token, including those queued
	// ahead.
	Work float64
	// OwnWork is the part of Work that belongs to the request itself.
	OwnWork float64
	// Batch is the mean batch size while the request runs, including the request itself.
	Batch float64
	// FirstToken and Total are measured from dispatch.
	FirstToken float64
	Total      float64
	// Cost is the value that the Picker compares: Total plus weighted penalties.
	Cost float64
}

// predict derives the times and the cost from the work, the batch and a speed.
func (e *Estimate) predict(speed *Speed, answerTokens int, prefillWeight float64) {
	e.FirstToken = speed.FirstToken.At(e.Work)
	e.Total = e.FirstToken + float64(answerTokens)*speed.Interval.At(e.Batch)
	e.Cost = e.Total + prefillWeight*e.OwnWork*speed.FirstToken.Slope
}

// addDelay adds a delay in seconds before the first token.
func (e *Estimate) addDelay(seconds float64) {
	e.FirstToken += seconds
	e.Total += seconds
	e.Cost += seconds
}

// scale multiplies the times and the cost by a factor.
func (e *Estimate) scale(factor float64) {
	e.FirstToken *= factor
	e.Total *= factor
	e.Cost *= factor
}
