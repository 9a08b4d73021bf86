package endpointlimit_test

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/gossip"
)

// Two nodes share an endpoint's advertised limit; one of them learns of it from the other's report.
func Example() {
	now := boottime.Instant(time.Hour)
	list := directory.New()
	endpoint := &directory.Endpoint{ID: "e", Service: "s", DataCentre: "palermo", Slots: 8}
	list.Apply(now, []*directory.Endpoint{endpoint}, nil, 0)
	both := []domain.Member{{Node: "palermo-1", DataCentre: "palermo"}, {Node: "palermo-2", DataCentre: "palermo"}}
	limiter := endpointlimit.New(endpointlimit.Config{
		Self: "palermo-2", Clock: func() boottime.Instant { return now }, Members: func() []domain.Member { return both },
		Directory: list, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	fmt.Println(limiter.Allows(endpoint))
	limiter.ApplyReport(&gossip.Report{From: "palermo-1", Limits: []gossip.EndpointLimit{{Endpoint: "e", PerSecond: 4}}})
	fmt.Println(limiter.Allows(endpoint))
	now = now.Add(500 * time.Millisecond) // this node's share is two requests a second
	fmt.Println(limiter.Allows(endpoint), limiter.Take(endpoint), limiter.Allows(endpoint))
	// Output:
	// true
	// false
	// true 4 false
}
