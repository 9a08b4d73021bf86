package sizing

func queueRole() Role {
	return Role{
		Name:      "queue",
		Mechanism: "only the pool's owner queues: tier, then organisation by weight, then deadline; bounded, and an organisation that no longer waits is forgotten",
		Items: []Item{
			{"requests waiting at their entry nodes in a burst", Data, Memory, "node_waiting * waiting_request_bytes"},
			{"asks waiting at owners in a burst", Request, Memory, "node_waiting * owner_ask_bytes"},
			{"push and pop, the burst waiting", Request, CPU, "node_requests * (queue_push_pop_ns_base + queue_push_pop_ns * node_waiting) / ns_per_second"},
		},
	}
}
