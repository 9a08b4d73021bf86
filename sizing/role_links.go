package sizing

func linksRole() Role {
	return Role{
		Name:      "peer links",
		Mechanism: "one WebSocket with mutual TLS a pair of nodes that talk, closed after three idle minutes",
		Items: []Item{
			{"links within the data centre", Control, Memory, "peers_in_dc * link_end_bytes"},
			{"links to owners and users of organisations", Control, Memory, "limits_links * link_end_bytes"},
			{"links for exchanges with other data centres", Control, Memory, "exchange_links * link_end_bytes"},
			{"links for ledger tables of other data centres", Control, Memory, "foreign_links * link_end_bytes"},
			{"links between owners of pools and coordinators", Control, Memory, "candidate_links * link_end_bytes"},
			{"messages at both ends", Control, CPU, "control_messages * link_cpu_ns_base / ns_per_second"},
			{"links opened, both ends", Control, CPU, "(exchange_openings + foreign_fetches) * link_opening_ns / ns_per_second"},
			{"messages at both ends", Request, CPU, "request_messages * link_cpu_ns_base / ns_per_second"},
		},
	}
}
