package lease_test

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/store/lease"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// One of two processes holds the lease. The other acquires it once the first has released it, with a greater fencing token.
func Example() {
	ctx := context.Background()
	store := memstore.New(memstore.Options{})
	first, err := lease.Acquire(ctx, store.NewClient(), "jobs/report", lease.Options{Owner: "a"})
	if err != nil {
		panic(err)
	}
	_, err = lease.Acquire(ctx, store.NewClient(), "jobs/report", lease.Options{Owner: "b"})
	fmt.Println("a holds it:", first.Held(), "- b is refused:", errors.Is(err, lease.ErrHeld))
	if err := first.Release(ctx); err != nil {
		panic(err)
	}
	second, err := lease.Acquire(ctx, store.NewClient(), "jobs/report", lease.Options{Owner: "b"})
	if err != nil {
		panic(err)
	}
	fmt.Println("a holds it:", first.Held(), "- b's token is greater:", second.Fencing() > first.Fencing())
	// Output:
	// a holds it: true - b is refused: true
	// a holds it: false - b's token is greater: true
}
