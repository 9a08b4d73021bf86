package sizing

func coordinatorRole() Role {
	return Role{
		Name:      "coordinator",
		Mechanism: "one lease for each group of models that share engines, three candidates each, spread over the nodes; owners tell the candidates the demand; fencing numbers from the store's revisions",
		Items: []Item{
			{"demand told by owners to candidates", Control, Messages, "demand_messages"},
			{"demand told by owners to candidates", Control, Bytes, "demand_messages * (demand_bytes + message_overhead)"},
			{"engines read, a group a model, on average", Control, Bytes, "runners / nodes / coordinator_seconds * engine_report_bytes_base / 2"},
			{"engines read, both ends", Control, CPU, "runners / nodes / coordinator_seconds * engine_report_ns_base / 2 / ns_per_second"},
			{"leases kept, by calls to the store", Control, Bytes, "renewals_per_lease * models / coordinator_lease_seconds / nodes * store_call_bytes"},
		},
	}
}
