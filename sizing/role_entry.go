package sizing

func entryRole() Role {
	return Role{
		Name:      "entry",
		Mechanism: "the node that holds the caller dispatches by itself, so that an answer takes no hop between nodes; finished answers are packed and bounded in bytes",
		Items: []Item{
			{"open streams", Data, Memory, "node_streams * stream_bytes"},
			{"answers being produced, half done", Data, Memory, "node_streams * (open_answer_bytes_base + open_answer_bytes * answer_tokens / 2)"},
			{"finished answers kept for replay", Data, Memory, "min(answer_bytes_bound, node_requests * retention_seconds * (finished_answer_bytes_base + finished_answer_bytes * answer_tokens))"},
			{"prompts in and out", Data, Bytes, "2 * node_requests * prompt_tokens * characters_per_token"},
			{"tokens in and out", Data, Bytes, "2 * node_tokens * token_event_bytes"},
			{"requests", Data, CPU, "node_requests * answer_ns_base / ns_per_second"},
			{"tokens", Data, CPU, "node_tokens * answer_ns / ns_per_second"},
			{"packing of finished answers", Data, CPU, "node_requests * (pack_answer_ns_base + pack_answer_ns * answer_tokens) / ns_per_second"},
		},
	}
}
