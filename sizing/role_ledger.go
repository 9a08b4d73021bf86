package sizing

func ledgerRole() Role {
	return Role{
		Name:      "ledger",
		Mechanism: "one home and one witness a key, by rendezvous over the data centre's agreed table; the table changes with hosts, never with requests",
		Items: []Item{
			{"tables of all data centres", Control, Memory, "data_centres * (ledger_table_bytes_base + ledger_table_bytes * nodes_per_dc)"},
			{"members ask each other for the epoch", Control, Messages, "confirm_messages"},
			{"members ask each other for the epoch", Control, Bytes, "(ledger_rest_bytes_base + ledger_rest_bytes * nodes_per_dc) * 2 / fence_seconds + confirm_messages * message_overhead"},
			{"records collected when a member leaves or is lost, on average", Control, Messages, "collect_messages"},
			{"records collected when a member leaves or is lost, on average", Control, Bytes, "table_losses * ledger_loss_bytes * dc_records / nodes_per_dc + collect_messages * message_overhead"},
			{"tables of other data centres asked for when met after a change", Control, Messages, "2 * foreign_fetches"},
			{"tables of other data centres asked for when met after a change", Control, Bytes, "foreign_fetches * (ledger_table_bytes_base + ledger_table_bytes * nodes_per_dc + 2 * message_overhead + link_opening_bytes)"},
			{"records of the retention window, at home and witness", Request, Memory, "2 * node_requests * retention_seconds * ledger_record_bytes"},
			{"claim, commit, finish with replies", Request, Messages, "ledger_messages"},
			{"claim, commit, finish with replies", Request, Bytes, "node_requests * ledger_request_bytes_base + ledger_messages * message_overhead"},
			{"claim, commit, finish decided", Request, CPU, "node_requests * (ledger_decision_ns_base + ledger_decision_ns * 2 * node_requests * retention_seconds) / ns_per_second"},
		},
	}
}
