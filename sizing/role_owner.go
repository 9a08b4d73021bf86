package sizing

func ownerRole() Role {
	return Role{
		Name:      "capacity owner",
		Mechanism: "one owner a pool and data centre, by rendezvous over its live nodes; soft state, told anew by the holders",
		Items: []Item{
			{"grants held", Request, Memory, "node_streams * grant_bytes"},
			{"ask, grant, release", Request, Messages, "node_requests * grant_messages"},
			{"ask, grant, release", Request, Bytes, "node_requests * grant_request_bytes"},
		},
	}
}
