package sizing

func routerRole() Role {
	return Role{
		Name:      "router",
		Mechanism: "lives with the pool's owner: learned speeds and bounded tables of prefixes, never sent between nodes",
		Items: []Item{
			{"learned speeds", Control, Memory, "owned_endpoints * router_endpoint_bytes"},
			{"prefix tables, full", Control, Memory, "owned_endpoints * prefix_blocks * prefix_block_bytes"},
			{"choice of endpoint", Request, CPU, "node_requests * (route_ns_base + route_ns * pool_endpoints) / ns_per_second"},
		},
	}
}
