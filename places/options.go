package places

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routing"
)

const (
	// maxWaiting bounds the asks that wait for one service at one node.
	maxWaiting = 512
	// lowestTurn is the number of turns of which one goes to the lowest tier that waits.
	lowestTurn = 5
	// localFill is the part of an endpoint's places up to which the node's own data centre goes first.
	localFill = 0.7
	// lateSlack is how much longer than a request's latency objective its predicted wait may be, as a part of the
	// objective. The prediction is a mean.
	lateSlack = 0.0
	// retryLeast and retryMost bound the time after which a refused caller is told to come back.
	retryLeast = 300 * time.Millisecond
	retryMost  = 5 * time.Second
)

// Options are a Desk's settings.
type Options struct {
	// DataCentre is where this node stands.
	DataCentre domain.DataCentre
	// Routing are the router's numbers; zero values mean defaultRouting.
	Routing routing.Options
}

// defaultRouting are the router's numbers where requests are accounted by each node for itself.
func defaultRouting(o routing.Options) routing.Options {
	// A place is granted at once or not at all: waiting for a better endpoint needs one node to decide for all.
	o.HoldRatio = -1
	// The endpoint's places bound its batch.
	o.TokenInterval = -1
	// Progress is seen with each event, so silence shows soon.
	o.Silence = time.Second
	o.EjectFirst = 500 * time.Millisecond
	o.EjectMost = 4 * time.Second
	o.ProbeTimeout = 2 * time.Second
	return o
}
