package sizing

// Peak is the load on a node that has a larger share of some work than the average
// node.
type Peak struct {
	Description string
	Quantity    Quantity
	Formula     Formula
	// Limit is the name of the constant that holds the limit, or empty if there is none.
	Limit string
}

// Peaks returns the loads of the most loaded nodes.
func Peaks() []Peak {
	return []Peak{
		{"owner of most pools: load reports of its engines", Bytes, "owned_pools_most * pool_endpoints / report_seconds * engine_report_bytes_base", "limit_bytes"},
		{"owner of most pools: prefix tables", Memory, "owned_pools_most * pool_endpoints * prefix_blocks * prefix_block_bytes", "limit_memory"},
		{"any owner: renewals of all nodes of its data centre", Bytes, "(peers_in_dc + owners_per_dc) / renew_seconds * message_overhead + models * renewal_bytes / renew_seconds", "limit_bytes"},
		{"owner of the busiest pool: asks, rulings, releases", Bytes, "requests_per_second / data_centres * busiest_pool_part * (grant_request_bytes_base + grant_request_bytes * prompt_blocks + grant_request_messages_base * message_overhead)", ""},
		{"owner of the busiest pool: decisions and choices", CPU, "requests_per_second / data_centres * busiest_pool_part * (owner_decision_ns_base + route_ns_base + (owner_decision_ns + route_ns) * busiest_pool_part * runners / data_centres) / ns_per_second", "limit_core"},
		{"reader of the host list", Bytes, "(nodes + runners) * host_list_bytes / list_seconds", "limit_bytes"},
		{"coordinator of a model: its engines read", Bytes, "runners / models / coordinator_seconds * engine_report_bytes_base / 2", "limit_bytes"},
		{"coordinator, if all models share engines: all read", Bytes, "runners / coordinator_seconds * engine_report_bytes_base / 2", "limit_bytes"},
		{"delegate for one other data centre", Bytes, "membership_exchange_messages / delegates * message_overhead + membership_exchange_bytes / delegates", "limit_bytes"},
	}
}
