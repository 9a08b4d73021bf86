package sizing

func coordinatorRole() Role {
	return Role{
		Name:      "coordinator",
		Mechanism: "one lease a model, spread over the nodes",
		Items: []Item{
			{"leases kept alive", Control, Messages, "models / nodes / lease_renewal_seconds"},
		},
	}
}
