package routing

// Speed is the latency model of an endpoint. FirstToken is the time to the first token as a function
// of the prompt tokens to compute, including those queued ahead; Interval is the time between tokens
// as a function of the batch size.
type Speed struct {
	FirstToken LinearModel `json:"first_token"`
	Interval   LinearModel `json:"interval"`
}
