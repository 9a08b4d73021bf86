package membership_test

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// Two nodes discover each other through their seeds, and one learns that the
// other is leaving.
func Example() {
	network := peertest.NewNetwork()
	defer network.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var seeds []hostlist.Host
	for _, name := range []domain.NodeID{"palermo-1", "palermo-2"} {
		seeds = append(seeds, hostlist.Host{Node: name, Address: string(name), DataCentre: "palermo"})
	}
	var nodes []*membership.Service
	for _, seed := range seeds {
		self := domain.Member{Node: seed.Node, Incarnation: 1, DataCentre: seed.DataCentre, Address: seed.Address}
		nodes = append(nodes, membership.New(membership.Options{Transport: network.Node(self), Seeds: seeds}))
	}
	seen := make(chan membership.Status, 16)
	defer nodes[0].Subscribe(func(s *membership.Snapshot) {
		for _, p := range s.Peers {
			if p.Node == "palermo-2" {
				seen <- p.Status
			}
		}
	})()
	for _, node := range nodes {
		go func() { _ = node.Run(ctx) }()
	}
	await(seen, membership.StatusAlive)
	if err := nodes[1].Leave(ctx); err != nil {
		panic(err)
	}
	await(seen, membership.StatusLeaving)
	// Output:
	// palermo-2 is alive
	// palermo-2 is leaving
}

func await(seen <-chan membership.Status, status membership.Status) {
	for s := range seen {
		if s == status {
			fmt.Println("palermo-2 is", s)
			return
		}
	}
}
