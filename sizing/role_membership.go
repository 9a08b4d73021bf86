package sizing

func membershipRole() Role {
	return Role{
		Name:      "membership",
		Mechanism: "heartbeats within the data centre only; other data centres by the host list",
		Items: []Item{
			{"members held", Control, Memory, "nodes * member_bytes"},
			{"heartbeats", Control, Messages, "membership_messages_base + membership_messages * peers_in_dc"},
			{"heartbeats", Control, Bytes, "membership_bytes_base + membership_bytes * peers_in_dc"},
			{"heartbeats", Control, Processor, "(membership_ns_base + membership_ns * peers_in_dc) / ns_per_second"},
		},
	}
}
