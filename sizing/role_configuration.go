package sizing

func configurationRole() Role {
	return Role{
		Name:      "configuration",
		Mechanism: "few watchers a data centre, chunks by hash, the rest from peers",
		Items: []Item{
			{"snapshot in force", Control, Memory, "config_organisation_bytes_base + config_organisation_bytes * organisations"},
			{"changes", Control, Bytes, "config_changes_per_day / seconds_per_day * config_change_bytes"},
		},
	}
}
