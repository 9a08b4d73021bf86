package sizing

func configurationRole() Role {
	return Role{
		Name:      "configuration",
		Mechanism: "two watchers a data centre, parts named by their hash, the rest from peers in a tree; comparisons by digest",
		Items: []Item{
			{"snapshot, by organisations", Control, Memory, "config_organisation_bytes_base + config_organisation_bytes * organisations"},
			{"snapshot, by endpoints", Control, Memory, "config_endpoint_bytes * runners"},
			{"comparisons and changes", Control, Messages, "document_messages"},
			{"comparisons", Control, Bytes, "document_rest_bytes_base + document_rest_messages_base * message_overhead"},
			{"changes", Control, Bytes, "config_changes * (document_change_bytes_base + document_change_bytes * organisations + change_messages * message_overhead)"},
			{"changes decoded and compiled", Control, CPU, "config_changes * (config_change_ns_base + config_change_ns * organisations) / ns_per_second"},
		},
	}
}
