package sizing

// CrossCheck compares the sum of separately measured components with a measurement of
// whole nodes, at the size of one data centre.
type CrossCheck struct {
	Description string
	Unit        Unit
	Parts       Formula
	Whole       Formula
}

// CrossChecks returns the comparisons for an idle node: no requests and no other data
// centre.
func CrossChecks() []CrossCheck {
	return []CrossCheck{
		{
			Description: "messages sent", Unit: PerSecond,
			Parts: "membership_rest_messages_base + confirm_messages + document_rest_messages_base",
			Whole: "node_rest_messages_base + node_rest_messages * nodes_per_dc",
		},
		{
			Description: "payload sent", Unit: BytesPerSecond,
			Parts: "membership_rest_bytes_base + (ledger_rest_bytes_base + ledger_rest_bytes * nodes_per_dc) * 2 / fence_seconds + document_rest_bytes_base",
			Whole: "node_rest_bytes_base + node_rest_bytes * nodes_per_dc",
		},
	}
}
