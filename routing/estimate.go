package routing

// Estimate is what the ask would cost at a candidate. Times are in seconds.
type Estimate struct {
	// CachedTokens of the prompt are probably held by the endpoint.
	CachedTokens float64
	// Work is the prompt tokens to compute before the first token, those ahead
	// included.
	Work float64
	// Own is the part of Work that is the ask's own.
	OwnWork float64
	// Batch is the mean number of requests while the ask runs, itself included.
	Batch float64
	// FirstToken and Total are from dispatch.
	FirstToken float64
	Total      float64
	// Cost is what the Picker compares: Total and whatever counts besides.
	Cost float64
}

// predict sets the times that follow from work, batch and a speed.
func (e *Estimate) predict(speed *Speed, answerTokens int, prefillWeight float64) {
	e.FirstToken = speed.FirstToken.At(e.Work)
	e.Total = e.FirstToken + float64(answerTokens)*speed.Interval.At(e.Batch)
	e.Cost = e.Total + prefillWeight*e.OwnWork*speed.FirstToken.Slope
}

// add lengthens the estimate by seconds before the first token.
func (e *Estimate) add(seconds float64) {
	e.FirstToken += seconds
	e.Total += seconds
	e.Cost += seconds
}

// scale makes the estimate so many times as long.
func (e *Estimate) scale(factor float64) {
	e.FirstToken *= factor
	e.Total *= factor
	e.Cost *= factor
}
