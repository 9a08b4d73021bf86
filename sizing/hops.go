package sizing

// Hops returns the steps in the paths of a request and of a token.
func Hops() []Hop {
	return []Hop{
		{FirstToken, "caller to entry node and first token back", "2 * client_seconds", false},
		{FirstToken, "HTTP, key, body, answer buffer at the entry node", "answer_ns_base / ns_per_second", false},
		{FirstToken, "claim at the key's home in the data centre", "2 * near_seconds + link_call_ns_base / ns_per_second", false},
		{FirstToken, "admission under the organisation's limits, local", "(limits_admit_ns_base + limits_admit_ns * organisations_in_use) / ns_per_second", false},
		{FirstToken, "ask and grant at the pool's owner", "2 * near_seconds + link_call_ns_base / ns_per_second", false},
		{FirstToken, "decision and choice of the owner", "(owner_decision_ns_base + owner_decision_ns * pool_endpoints + route_ns_base + route_ns * pool_endpoints) / ns_per_second", false},
		{FirstToken, "commit at the home, the entry node as witness", "2 * near_seconds + link_call_ns_base / ns_per_second", false},
		{FirstToken, "dispatch to the engine and its first token back", "2 * near_seconds", false},
		{FirstToken, "the first token through the answer buffer", "answer_ns / ns_per_second", false},
		{FirstToken, "more, if the key is decided in another region: claim and commit", "2 * 2 * far_seconds", true},
		{FirstToken, "more, if the organisation's share is used up: its owner anywhere, at most the patience", "min(limits_patience, 2 * far_seconds)", true},
		{FirstToken, "more, if the pool is served in another region only: quote, ask, engine", "2 * far_seconds + 2 * 2 * far_seconds", true},
		{TokenGap, "token through the answer buffer", "answer_ns / ns_per_second", false},
		{TokenGap, "more, if the caller reads at another node than its request's: one more link", "link_call_ns_base / 2 / ns_per_second", true},
	}
}
