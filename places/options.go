package places

import (
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routing"
)

const (
	// maxWaiting bounds the queue of one service at one node.
	maxWaiting = 512
	// maxLookahead is the number of waiters examined behind one for which there is no endpoint.
	maxLookahead = 8
	// lowerTierInterval is the number of grants of which one goes to a tier below the highest that waits.
	lowerTierInterval = 5
	// localFillLimit is the fraction of an endpoint's slots up to which the node's own data centre is preferred.
	localFillLimit = 0.7
	// overcommitFactor is how far nodes with less than 1/underservedDivisor of an equal share of the slots fill an
	// endpoint beyond its slots.
	overcommitFactor   = 1.25
	underservedDivisor = 2
	// demandShareFraction is the fraction of a node's demand share of an overloaded service's slots below which it may
	// exceed an endpoint's slots by overcommitFactor: demand changes by about a tenth from one second to the next.
	demandShareFraction = 0.9
	// shortWork is the duration below which work ends before the other nodes' reports of it are of use: these are 0.1
	// to 0.5 s old. shortWorkTimeFraction is the fraction of the remaining time that such work may spend at an
	// endpoint, queueing included, and maxQueueFactor the number of requests per slot that an endpoint may then have:
	// endpoints queue "a few more" requests than they have slots and reject the rest.
	shortWork             = 150 * time.Millisecond
	shortWorkTimeFraction = 0.6
	maxQueueFactor        = 2
	// lateReserve is the fraction of an endpoint's slots that late requests leave free.
	lateReserve = 0.3
	// nodesPerEndpoint is the number of nodes that share an endpoint in a large fleet. Each node then prefers a subset
	// of the endpoints, so that it knows more of their load itself and needs fewer connections. foreignReserve is the
	// fraction of the slots of all other endpoints that it leaves free: with reports a third of a second old, many
	// nodes would take the last slots at the same time. Up to the 20th second of an overloaded day with 72 nodes the
	// share of the requested value that callers got was 0.537 with 0.1, 0.552 with 0.25 and 0.563 with 0.4. But the
	// less work goes to other subsets, the worse is the share in the most loaded data centre: 0.502, 0.479, 0.473.
	nodesPerEndpoint = 4
	foreignReserve   = 0.25
	// sampleSize is the number of endpoints from which the router chooses in a fleet of more than sampleMinNodes nodes.
	// All nodes have about the same reports; if each chose the best endpoint by them, all would choose the same one
	// before the next report.
	sampleSize     = 4
	sampleMinNodes = 10
	// reportFailureFor is how long an endpoint's failure is reported to the other nodes, avoidFor how long they avoid
	// it after the last such report. Without it each node detects the failure by itself: when a quarter of 90 endpoints
	// crashed under 69 nodes, 178 of 600 requests in two seconds at six nodes were refused after six failed
	// connections.
	reportFailureFor = time.Second
	avoidFor         = 600 * time.Millisecond
	// minWitnesses is the number of other nodes that must not reach an endpoint for it to be avoided; one may have lost its
	// own links.
	minWitnesses = 2
	// avoidReplacedFor is how long an endpoint is avoided after another incarnation answered at its address: the
	// directory removes the old one within seconds, when its store entry expires.
	avoidReplacedFor = 10 * time.Second
	// ownResultFreshFor is how long this node's own results at an endpoint override a peer's report of its failure:
	// reports are up to half a second old.
	ownResultFreshFor = time.Second
	// longPromptTokens is the length from which on a prompt may have to wait for an endpoint's cache memory: observed
	// engines hold 500,000 tokens and run about ten requests at a time.
	longPromptTokens = 16000
	// maxPredictedLateWait is the longest predicted wait of a request that will miss its latency objective in any case,
	// and maxLateWait the longest actual wait. Such a request is served if a slot is free and is otherwise refused soon
	// with a time to retry, since its wait takes capacity from requests that can be on time. With 0.8 s and 1.7 s, and a
	// reserve of 0.2, overloaded days of small copies of two large deployments had a mean value served of 0.231 and 0.245
	// (1 is all that callers requested, on time); with these values 0.265 and 0.272.
	maxPredictedLateWait = 50 * time.Millisecond
	maxLateWait          = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is asked to retry.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Options are an Allocator's settings.
type Options struct {
	// Node is this node's ID, DataCentre its location.
	Node       domain.NodeID
	DataCentre domain.DataCentre
	// CacheTokens returns the cache memory in tokens of each endpoint of a service, zero if unknown. It may be nil.
	CacheTokens func(service string) int
	// Gate decides whether endpoints may be sent to. If it is nil, all but those that are leaving may.
	Gate Gate
	// Routing holds the router's options. New replaces some of them, see defaultRouting.
	Routing routing.Options
	// Log receives changes of the endpoints' assumed health; the zero value logs nothing.
	Log zerolog.Logger
}

// defaultRouting sets the router's options for nodes that each account for requests by themselves.
func defaultRouting(o routing.Options) routing.Options {
	// A request is granted a place at once or queued: holding it back for a better endpoint requires one node that
	// decides for all.
	o.HoldRatio = -1
	// The endpoint's slots bound its batch.
	o.TokenInterval = -1
	// Each event shows progress, so that a silent endpoint is detected soon.
	o.StallTimeout = time.Second
	o.InitialEjection = 500 * time.Millisecond
	o.MaxEjection = 4 * time.Second
	o.ProbeTimeout = 2 * time.Second
	return o
}
