package sizing

func linksRole() Role {
	return Role{
		Name:      "peer links",
		Mechanism: "one WebSocket with mutual TLS a pair of nodes that talk, closed after three idle minutes",
		Items: []Item{
			{"links within the data centre", Control, Memory, "peers_in_dc * link_end_bytes"},
			{"links to owners and users of organisations elsewhere", Control, Memory, "limits_links * link_end_bytes"},
		},
	}
}
