package sizing

func ledgerRole() Role {
	return Role{
		Name:      "ledger",
		Mechanism: "one home and one witness a key, by rendezvous over the data centre's agreed table",
		Items: []Item{
			{"records of the retention window", Request, Memory, "node_requests * retention_seconds * ledger_record_bytes"},
			{"claim, commit, witness, finish", Request, Messages, "node_requests * ledger_request_messages"},
			{"claim, commit, witness, finish", Request, Bytes, "node_requests * ledger_request_bytes"},
			{"claims decided", Request, Processor, "node_requests * ledger_request_ns / ns_per_second"},
		},
	}
}
