package sizing

func ownerRole() Role {
	return Role{
		Name:      "capacity owner",
		Mechanism: "one owner a pool and data centre, by rendezvous over its live nodes; an account by digests, one renewal a holder and owner; soft state, told anew by the holders",
		Items: []Item{
			{"endpoints owned", Control, Memory, "owned_endpoints * owner_endpoint_bytes"},
			{"renewals and their replies", Control, Messages, "renewal_messages"},
			{"renewals and their replies", Control, Bytes, "models * renewal_bytes / renew_seconds + renewal_messages * message_overhead"},
			{"ticks", Control, Processor, "pools_per_node / tick_seconds * owner_tick_ns_base / ns_per_second"},
			{"grants held, at holder and owner", Request, Memory, "node_streams * grant_both_sides_bytes"},
			{"ask, ruling, release", Request, Messages, "node_requests * grant_request_messages_base"},
			{"ask, ruling, release", Request, Bytes, "node_requests * (grant_request_bytes_base + grant_request_bytes * prompt_blocks + grant_request_messages_base * message_overhead)"},
			{"progress in renewals", Request, Bytes, "node_requests * progress_changes * renewal_progress_bytes"},
			{"decisions", Request, Processor, "node_requests * (owner_decision_ns_base + owner_decision_ns * pool_endpoints) / ns_per_second"},
			{"ticks with the burst waiting", Request, Processor, "owner_tick_ns * node_waiting / tick_seconds / ns_per_second"},
		},
	}
}
