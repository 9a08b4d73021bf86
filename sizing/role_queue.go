package sizing

func queueRole() Role {
	return Role{
		Name:      "queue",
		Mechanism: "tier, then organisation by weight, then deadline; only the pool's owner queues",
		Items: []Item{
			{"asks waiting in a burst of twice the peak", Request, Memory, "node_requests * queue_seconds * queue_ask_bytes"},
			{"decisions", Request, Processor, "node_requests * (queue_decision_ns_base + queue_decision_ns * organisations) / ns_per_second"},
		},
	}
}
