package sizing

// CrossCheck compares the sum of what was measured in parts with what was measured
// of whole nodes, at the size of a data centre.
type CrossCheck struct {
	Description string
	Unit        Unit
	Parts       Formula
	Whole       Formula
}

// CrossChecks returns the comparisons of a node at rest: without a request, and
// with no other data centre.
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
