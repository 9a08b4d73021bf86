package sizing

func routerRole() Role {
	return Role{
		Name:      "router",
		Mechanism: "lives with the pool's owner: learned speeds and a bounded prefix index, never sent between nodes",
		Items: []Item{
			{"learned speeds", Control, Memory, "pools_per_node * runners_per_dc * route_endpoint_bytes"},
			{"prefix index", Control, Memory, "pools_per_node * prefix_blocks * prefix_block_bytes"},
			{"choice of endpoint", Request, Processor, "node_requests * (route_ns_base + route_ns * runners_per_dc) / ns_per_second"},
		},
	}
}
