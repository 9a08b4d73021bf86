package sizing

func limitsRole() Role {
	return Role{
		Name:      "limits",
		Mechanism: "an owner among all nodes for each organisation; shares by demand, reported every 8 s by nodes that use them; admission itself is local",
		Items: []Item{
			{"accounts and books of organisations in use", Control, Memory, "organisations_in_use * limits_organisation_bytes"},
			{"reports and replies", Control, Messages, "limits_messages"},
			{"reports and replies", Control, Bytes, "organisations_in_use * limits_payload_bytes + limits_messages * message_overhead"},
			{"admission", Request, CPU, "node_requests * (limits_admit_ns_base + limits_admit_ns * organisations_in_use) / ns_per_second"},
		},
	}
}
