package sizing

func nodeRole() Role {
	return Role{
		Name:      "whole node",
		Mechanism: "periodic work of all parts together, which does not grow with the fleet",
		Items: []Item{
			{"fixed state of all parts", Control, Memory, "node_rest_state_base"},
			{"periodic work of all parts at rest, without the links'", Control, CPU, "(node_rest_ns_base + node_rest_ns * nodes_per_dc) / ns_per_second"},
		},
	}
}
