package routing

// Speed is how fast an endpoint is. First is the time to the first token by
// prompt tokens to compute, those ahead included; Interval is the time between
// tokens by requests in the batch.
type Speed struct {
	FirstToken LinearModel `json:"first_token"`
	Interval   LinearModel `json:"interval"`
}
