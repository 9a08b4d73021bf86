package sizing

func limitsRole() Role {
	return Role{
		Name:      "limits",
		Mechanism: "shares of an organisation's limit, sent only for those organisations that a node serves",
		Items: []Item{
			{"organisations counted", Control, Memory, "organisations * limits_organisation_bytes"},
			{"shares exchanged", Control, Bytes, "limits_bytes_base + limits_bytes * organisations"},
		},
	}
}
