package sizing

func entryRole() Role {
	return Role{
		Name:      "entry",
		Mechanism: "the node that holds the caller dispatches by itself: an answer takes no hop between nodes",
		Items: []Item{
			{"answers kept for replay", Data, Memory, "node_requests * retention_seconds * (answer_bytes_base + answer_bytes * answer_tokens)"},
			{"tokens relayed", Data, Processor, "node_tokens * relay_ns / ns_per_second"},
		},
	}
}
