package places

import (
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routing"
)

const (
	// maxWaiting bounds the asks that wait for one service at one node.
	maxWaiting = 512
	// lookBehind is the number of waiters looked at behind one for whom there is no endpoint.
	lookBehind = 8
	// lowerTurn is the number of turns of which one goes to a tier below the first that waits.
	lowerTurn = 5
	// localFill is the part of an endpoint's places up to which the node's own data centre goes first.
	localFill = 0.7
	// overfill is how far beyond its places an endpoint is filled by nodes that have less than a starvedPart-th of an
	// equal part of them.
	overfill    = 1.25
	starvedPart = 2
	// underShare is the part of its share of an overloaded service's places below which a node may exceed an endpoint's places
	// by overfill: what is asked changes by about a tenth from one second to the next.
	underShare = 0.9
	// quickWork is the time below which work ends before the other nodes' reports of it are of use: they are 0.1 to 0.5 s
	// old. quickPart is the part of the time left that such work may spend at an endpoint, queueing included, and
	// quickRounds how many requests for each of its places an endpoint may have then; endpoints queue "a few more" than
	// they have places and reject the rest.
	quickWork   = 150 * time.Millisecond
	quickPart   = 0.6
	quickRounds = 2
	// lateReserve is the part of an endpoint's places that requests which will be late leave free.
	lateReserve = 0.3
	// sharers is the number of nodes that share an endpoint in a large fleet. Each node then keeps to a part of the
	// endpoints, so that it knows more of their load by itself and needs fewer connections. foreignReserve is the part of
	// the places of all other endpoints that it leaves free: by reports a third of a second old, many nodes would take
	// the last places at a time. Up to the 20th second of an overloaded day with 72 nodes callers got 0.537 of the worth
	// they wanted with 0.1, 0.552 with 0.25 and 0.563 with 0.4; but the less spills, the worse the most loaded data centre
	// is served: 0.502, 0.479, 0.473.
	sharers        = 4
	foreignReserve = 0.25
	// sample is the number of endpoints among which the router chooses in a fleet larger than sampleFrom. All nodes see
	// about the same reports; if all chose the best by them, they would meet there before the next report.
	sample     = 4
	sampleFrom = 10
	// tellFailure is how long an endpoint's failure is told to the other nodes, shunFor how long they pass it over after
	// they were last told. Without that each node finds out for itself: on a day on which a quarter of 90 endpoints
	// crashed under 69 nodes, 178 of 600 requests in two seconds at six nodes were refused after six failed connections.
	tellFailure = time.Second
	shunFor     = 600 * time.Millisecond
	// replacedFor is how long an endpoint is passed over after another life answered at its address: the directory drops
	// the old one within seconds, when its entry in the store ends.
	replacedFor = 10 * time.Second
	// ownWord is how long what this node has seen of an endpoint goes before what another node tells of it: reports are
	// up to half a second old.
	ownWord = time.Second
	// longPrompt is the number of tokens from which on a prompt may have to wait for an endpoint's memory: engines seen
	// hold 500,000 tokens and work on about ten requests at a time.
	longPrompt = 16000
	// lateWait is the longest predicted wait of a request that will miss its latency objective in any case, and lateMost how
	// long it may really wait. It is served if a place is free, and else told soon when to come back, since what it waits
	// for is taken from requests that can be on time: with 0.8 s and 1.7 s, and a reserve of 0.2, overloaded days of small
	// copies of two large deployments had a mean worth of 0.231 and 0.245 (1 is all that callers wanted, on time), with
	// these 0.265 and 0.272.
	lateWait = 50 * time.Millisecond
	lateMost = 300 * time.Millisecond
	// retryLeast and retryMost bound the time after which a refused caller is told to come back.
	retryLeast = 300 * time.Millisecond
	retryMost  = 10 * time.Second
)

// Options are a Desk's settings.
type Options struct {
	// Node is this node, DataCentre where it stands.
	Node       domain.NodeID
	DataCentre domain.DataCentre
	// CacheTokens returns the memory in tokens of each endpoint of a service, zero if it is not known; nil for none.
	CacheTokens func(service string) int
	// Limits are the endpoints' own limits on what they are sent; nil for none.
	Limits Limits
	// Routing are the router's numbers; zero values mean defaultRouting.
	Routing routing.Options
	// Log tells what the node comes to believe of endpoints; the zero value writes nothing.
	Log zerolog.Logger
}

// defaultRouting are the router's numbers where requests are accounted by each node for itself.
func defaultRouting(o routing.Options) routing.Options {
	// A place is granted at once or not at all: waiting for a better endpoint needs one node to decide for all.
	o.HoldRatio = -1
	// The endpoint's places bound its batch.
	o.TokenInterval = -1
	// Progress is seen with each event, so silence shows soon.
	o.StallTimeout = time.Second
	o.InitialEjection = 500 * time.Millisecond
	o.MaxEjection = 4 * time.Second
	o.ProbeTimeout = 2 * time.Second
	return o
}
