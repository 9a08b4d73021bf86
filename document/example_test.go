package document_test

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// An edit made on one node comes into force on the other.
func Example() {
	network := peertest.NewNetwork()
	defer network.Close()
	store := memstore.New(memstore.Options{})
	members := []domain.Member{{Node: "palermo-1", DataCentre: "palermo"}, {Node: "palermo-2", DataCentre: "palermo"}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	inForce := make(chan string, 1)
	var nodes []*document.Service
	for _, m := range members {
		view := membership.NewStaticView(membership.AllAlive(m, members...))
		node, err := document.New(document.Options{Transport: network.Node(m), Members: view, Store: store.NewClient()})
		if err != nil {
			panic(err)
		}
		spec := document.Spec{Name: "greeting"}
		if m.Node == "palermo-2" {
			spec.Apply = func(version document.Version, value []byte) error {
				inForce <- fmt.Sprintf("palermo-2 has generation %d: %s", version.Generation, value)
				return nil
			}
		}
		if err := node.Register(spec); err != nil {
			panic(err)
		}
		go func() { _ = node.Run(ctx) }()
		nodes = append(nodes, node)
	}
	edit := document.Edit{ID: document.NewEditID(), Author: "example"}
	_, err := nodes[0].Update(ctx, "greeting", edit, func(document.Version, []byte) (document.Value, error) {
		return document.NewValue([]byte("buongiorno")), nil
	})
	if err != nil {
		panic(err)
	}
	fmt.Println(<-inForce)
	// Output: palermo-2 has generation 1: buongiorno
}
