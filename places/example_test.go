package places_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/places"
)

// A program that embeds the allocator lists its endpoints in the directory, acquires a place before each dispatch, and
// releases it with the result.
func Example() {
	endpoints := directory.New()
	endpoints.Apply(0, []*directory.Endpoint{{ID: "engine-1", Service: "chat", DataCentre: "north", Slots: 1}}, nil, 0)
	alone := func() gossip.Fleet { return gossip.Fleet{Known: 1, Heard: 1, Near: 1} }
	allocator := places.New(places.Options{Node: "node-1", DataCentre: "north"}, endpoints, alone, metrics.NewSet())

	request := &places.Request{
		Service:      "chat",
		PromptTokens: 600,
		FirstByteDue: time.Now().Add(50 * time.Millisecond),
		Due:          time.Now().Add(10 * time.Second),
	}
	place, err := allocator.Acquire(context.Background(), request)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("send to", place.Endpoint.ID)

	// The only slot is taken and the next request would start too late, so it is refused at once.
	var refusal *places.Refusal
	if _, err = allocator.Acquire(context.Background(), request); errors.As(err, &refusal) {
		fmt.Println(refusal, "- come back later:", refusal.RetryAfter > 0)
	}

	place.Release(capacity.Result{Dispatched: true, Complete: true, FirstToken: 40 * time.Millisecond, Total: time.Second})
	// Output:
	// send to engine-1
	// places: the request would start too late - come back later: true
}
