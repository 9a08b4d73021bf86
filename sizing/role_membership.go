package sizing

func membershipRole() Role {
	return Role{
		Name:      "membership",
		Mechanism: "each node probes one peer of its data centre every 0.5 s, whatever their number; two delegates a data centre contact each other one every 3 s and read the host list; changes spread by rumour",
		Items: []Item{
			{"members of the whole fleet", Control, Memory, "membership_member_bytes_base + membership_member_bytes * nodes"},
			{"probes and exchanges", Control, Messages, "membership_messages"},
			{"probes and exchanges", Control, Bytes, "membership_rest_bytes_base + other_dcs * membership_exchange_bytes / nodes_per_dc + membership_messages * message_overhead"},
			{"links opened for exchanges with random nodes", Control, Bytes, "exchange_openings * link_opening_bytes"},
			{"lives that end and begin", Control, Bytes, "life_changes * membership_restart_bytes"},
			{"the host list, by the delegates, on average", Control, Bytes, "delegates * (nodes + runners) * host_list_bytes / list_seconds / nodes_per_dc"},
		},
	}
}
