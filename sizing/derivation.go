package sizing

// Derivation names a figure that several formulas use.
type Derivation struct {
	Name    string
	Unit    string
	Formula Formula
}

// Derivations returns the derived figures; each may use those before it.
func Derivations() []Derivation {
	return []Derivation{
		{"nodes_per_dc", "nodes", "nodes / data_centres"},
		{"peers_in_dc", "nodes", "nodes_per_dc - 1"},
		{"runners_per_dc", "runners", "runners / data_centres"},
		{"pools", "pools", "models * data_centres"},
		{"pools_per_node", "pools", "pools / nodes"},
		{"node_requests", "requests/s", "requests_per_second / nodes"},
		{"answer_tokens", "tokens", "tokens_per_second / requests_per_second"},
		{"stream_seconds", "s", "first_token_seconds + answer_tokens * token_gap_seconds"},
		{"node_streams", "streams", "node_requests * stream_seconds"},
		{"pool_endpoints", "runners", "runners / pools"},
		{"owned_endpoints", "runners", "runners / nodes"},
		{"node_waiting", "asks", "node_requests * queue_seconds"},
		{"prompt_blocks", "blocks", "prompt_tokens / block_tokens"},
		{"progress_changes", "changes a request", "stream_seconds / renew_seconds"},
		{"message_overhead", "bytes", "link_wire_bytes_base + ip_tcp_bytes"},
		{"renewal_messages", "messages/s", "2 * min(models, nodes_per_dc) / renew_seconds"},
		{"organisations_in_use", "organisations", "min(organisations, node_streams)"},
		{"limits_messages", "messages/s", "organisations_in_use * limits_fleet_messages"},
		{"limits_partners", "part of the nodes", "min(1, organisations_in_use / nodes)"},
		{"limits_links", "links", "nodes * limits_partners * (2 - limits_partners)"},
		{"node_tokens", "tokens/s", "tokens_per_second / nodes"},
	}
}
