package sizing

func ownerRole() Role {
	return Role{
		Name:      "capacity owner",
		Mechanism: "one owner a pool and data centre, by rendezvous over its live nodes; an account by digests, one renewal a holder and owner; soft state, told anew by the holders",
		Items: []Item{
			{"endpoints owned", Control, Memory, "owned_endpoints * owner_endpoint_bytes"},
			{"renewals and their replies", Control, Messages, "renewal_messages"},
			{"renewals and their replies", Control, Bytes, "models * renewal_bytes / renew_seconds + renewal_messages * message_overhead"},
			{"load reports read from engines, both ways", Control, Bytes, "owned_endpoints / report_seconds * engine_report_bytes_base"},
			{"load reports read from engines, both ends", Control, CPU, "owned_endpoints / report_seconds * engine_report_ns_base / ns_per_second"},
			{"grants held, at holder and owner", Request, Memory, "node_streams * grant_both_sides_bytes"},
			{"ask, ruling, release", Request, Messages, "grant_messages"},
			{"ask, ruling, release", Request, Bytes, "node_requests * (grant_request_bytes_base + grant_request_bytes * prompt_blocks) + grant_messages * message_overhead"},
			{"progress in renewals", Request, Bytes, "node_requests * progress_changes * renewal_progress_bytes"},
			{"cache events read from engines", Request, Bytes, "cache_events * engine_report_bytes"},
			{"cache events read from engines, both ends", Request, CPU, "cache_events * engine_report_ns / ns_per_second"},
			{"decisions", Request, CPU, "node_requests * (owner_decision_ns_base + owner_decision_ns * pool_endpoints) / ns_per_second"},
			{"ticks with the burst waiting", Request, CPU, "owner_tick_ns * node_waiting / tick_seconds / ns_per_second"},
		},
	}
}
