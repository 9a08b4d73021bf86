package places

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/routing"
)

// trackedEndpoint is a node's record of one endpoint: its own requests exactly, those of its peers as last reported.
type trackedEndpoint struct {
	endpoint  *directory.Endpoint
	log       zerolog.Logger
	state     capacity.EndpointState
	ownLoad   load
	peerLoad  load
	tokenTime tokenTimeEstimate
	// failedAt is when the endpoint last failed for this node, zero if it has served since; notReached is true if there was
	// no sign of it then. servedAt is when it last served. Until avoidUntil the endpoint is avoided because it told another
	// node that it failed.
	failedAt   time.Time
	notReached bool
	servedAt   time.Time
	avoidUntil time.Time
	// unreachedBy are the other nodes that do not reach the endpoint, and when they last said so.
	unreachedBy map[domain.NodeID]time.Time
	// replacedAt is when another incarnation of the endpoint answered at its address, zero if none has.
	replacedAt time.Time
	// slotReleased is true while a slot that this node released is granted to its own waiters.
	slotReleased bool
	// subsetMember is whether the endpoint is in this node's subset, computed for subsetNodes nodes in the data centre.
	subsetMember bool
	subsetNodes  int
}

func newTrackedEndpoint(e *directory.Endpoint, log zerolog.Logger) *trackedEndpoint {
	ep := &trackedEndpoint{log: log}
	ep.update(e)
	return ep
}

// update applies the directory's entry.
func (ep *trackedEndpoint) update(e *directory.Endpoint) {
	if ep.endpoint == e {
		return
	}
	ep.endpoint = e
	ep.state.ID = e.Incarnation()
	ep.state.Row = &config.EndpointRow{
		ID: e.Incarnation(), DataCentre: e.DataCentre, Address: e.Address, Generation: e.Service, Weight: fullWeight, Limit: e.Slots,
	}
	ep.state.Limit = e.Slots
	ep.state.Leaving = e.Leaving
}

// fullWeight is the weight of an endpoint without reduced capacity.
const fullWeight = 100

// refreshState recomputes the router's view of the load.
func (ep *trackedEndpoint) refreshState() {
	s := &ep.state
	s.Requests = ep.ownLoad.requests + ep.peerLoad.requests
	s.PrefillTokens = ep.ownLoad.prefillTokens + ep.peerLoad.prefillTokens
	s.PromptTokens = ep.ownLoad.promptTokens + ep.peerLoad.promptTokens
	s.AnswerTokens = ep.ownLoad.answerTokens + ep.peerLoad.answerTokens
	s.ReservedTokens = s.PromptTokens + s.AnswerTokens
}

// freeSlots returns the number of unused slots.
func (ep *trackedEndpoint) freeSlots() int {
	return max(ep.endpoint.Slots-ep.ownLoad.requests-ep.peerLoad.requests, 0)
}

// capacityLimits is how much of an endpoint's capacity a request may use.
type capacityLimits struct {
	// overcommit allows more requests than the endpoint has slots.
	overcommit bool
	// reserve is the fraction of the slots that must stay free, foreignReserve that at endpoints outside the node's
	// subset.
	reserve        float64
	foreignReserve float64
	// demandReserve is the fraction left free for requests of higher tiers.
	demandReserve float64
	// queueFactor is the number of requests allowed per slot, at least one.
	queueFactor float64
	// requestTokens is what the request needs of the endpoint's cache memory, cacheTokens the memory's size; zero if
	// unknown.
	requestTokens int
	cacheTokens   int
}

// hasCapacity reports whether this node may send one more request: if a slot is free beyond the reserve, or if the
// slots may be exceeded and are not exceeded by too much yet.
func (ep *trackedEndpoint) hasCapacity(limits capacityLimits, inSubset bool) bool {
	reserve := limits.reserve
	if !inSubset && !ep.slotReleased {
		reserve = max(reserve, limits.foreignReserve)
	}
	if !ep.fitsCache(limits) {
		return false
	}
	outstanding, slots := float64(ep.ownLoad.requests+ep.peerLoad.requests), float64(ep.endpoint.Slots)
	switch {
	case limits.queueFactor > 1:
		return outstanding < limits.queueFactor*slots
	case limits.overcommit:
		return outstanding < overcommitFactor*slots
	}
	return outstanding < slots-max(reservedSlots(reserve, slots), math.Round(limits.demandReserve*slots))
}

// fitsCache reports whether the endpoint's cache memory holds the request in addition to the outstanding ones. An
// engine that runs out of memory preempts the newest request and prefills it again from the start. An idle endpoint is
// always allowed.
func (ep *trackedEndpoint) fitsCache(limits capacityLimits) bool {
	return limits.cacheTokens <= 0 || ep.state.Requests == 0 || ep.state.ReservedTokens+limits.requestTokens <= limits.cacheTokens
}

// reservedSlots is the number of slots that a reserve keeps free: at least one if there are several.
func reservedSlots(reserve, slots float64) float64 {
	if reserve <= 0 || slots <= 1 {
		return 0
	}
	return max(reserve*slots, 1)
}

// preferLocal reports whether the endpoint takes precedence over those of other data centres: it is in the node's own
// data centre and not nearly full.
func (ep *trackedEndpoint) preferLocal(o Options) bool {
	return ep.endpoint.DataCentre == o.DataCentre && float64(ep.state.Requests) < localFillLimit*float64(ep.endpoint.Slots)
}

// inSubset reports whether the endpoint belongs to the node's subset. In a data centre with more than nodesPerEndpoint
// nodes about that many share each of its endpoints; endpoints of other data centres belong to no subset.
func (ep *trackedEndpoint) inSubset(o Options, fleet gossip.Fleet) bool {
	if ep.subsetNodes != fleet.Near {
		ep.subsetNodes, ep.subsetMember = fleet.Near, ep.computeSubset(o, fleet.Near)
	}
	return ep.subsetMember
}

func (ep *trackedEndpoint) computeSubset(o Options, near int) bool {
	if ep.endpoint.DataCentre != o.DataCentre {
		return false
	}
	const buckets = 1 << 16
	hash := xxhash.Sum64String(string(o.Node) + "/" + string(ep.endpoint.ID))
	return hash%buckets < uint64(buckets*nodesPerEndpoint/max(near, 1))
}

// recordResult applies the outcome of one of this node's requests.
func (ep *trackedEndpoint) recordResult(now time.Time, result capacity.Result) {
	switch {
	case result.Replaced:
		if !ep.isReplaced(now) {
			ep.logHealth("endpoint restarted with a new incarnation; avoiding the old one", nil)
		}
		ep.replacedAt = now
	case result.Unreachable:
		if ep.failedAt.IsZero() {
			ep.logHealth("endpoint failed; avoiding it", func(line *zerolog.Event) { line.Bool("not_reached", result.NotReached) })
		}
		ep.failedAt, ep.notReached = now, result.NotReached
	case result.Complete || result.FirstToken > 0:
		ep.markHealthy(now)
	}
}

// markHealthy records that the endpoint serves requests.
func (ep *trackedEndpoint) markHealthy(now time.Time) {
	if !ep.failedAt.IsZero() {
		ep.logHealth("endpoint recovered", nil)
	}
	ep.servedAt = now
	ep.failedAt, ep.avoidUntil = time.Time{}, time.Time{}
	clear(ep.unreachedBy)
}

// logHealth logs a change of the endpoint's assumed health with the evidence for it. The function addEvidence, if not nil,
// adds to the line.
func (ep *trackedEndpoint) logHealth(message string, addEvidence func(*zerolog.Event)) {
	line := ep.log.Info().Str("endpoint", string(ep.id())).Str("service", ep.endpoint.Service).Time("failed_at", ep.failedAt).
		Time("served_at", ep.servedAt).Int("own_requests", ep.ownLoad.requests).Int("others_requests", ep.peerLoad.requests)
	if addEvidence != nil {
		addEvidence(line)
	}
	line.Msg(message)
}

// avoid marks the endpoint as avoided for a while because it told another node that it failed, unless it has just served this
// one.
func (ep *trackedEndpoint) avoid(now time.Time, from domain.NodeID) {
	if now.Sub(ep.servedAt) <= ownResultFreshFor {
		return
	}
	if now.After(ep.avoidUntil) {
		ep.logHealth("endpoint failed for another node; avoiding it", func(line *zerolog.Event) { line.Str("from", string(from)) })
	}
	ep.avoidUntil = now.Add(avoidFor)
}

// recordUnreached records that another node does not reach the endpoint, unless it has just served this one.
func (ep *trackedEndpoint) recordUnreached(now time.Time, from domain.NodeID, age time.Duration) {
	if now.Sub(ep.servedAt) <= ownResultFreshFor {
		return
	}
	if ep.unreachedBy == nil {
		ep.unreachedBy = make(map[domain.NodeID]time.Time)
	}
	maps.DeleteFunc(ep.unreachedBy, func(_ domain.NodeID, at time.Time) bool { return now.Sub(at) > ownResultFreshFor })
	if now.Sub(ep.unreachedBy[from]) >= avoidFor {
		ep.logHealth("endpoint not reached by another node", func(line *zerolog.Event) { line.Str("from", string(from)).Dur("age_ms", age) })
	}
	ep.unreachedBy[from] = now
}

// unreached counts the other nodes that do not reach the endpoint.
func (ep *trackedEndpoint) unreached(now time.Time) int {
	n := 0
	for _, at := range ep.unreachedBy {
		if now.Sub(at) < avoidFor {
			n++
		}
	}
	return n
}

// doubted reports whether another endpoint is preferred, because a node does not reach this one. The cause may be that node's
// links.
func (ep *trackedEndpoint) doubted(now time.Time) bool {
	return len(ep.unreachedBy) > 0 && ep.unreached(now) > 0
}

// inService reports whether the endpoint is assumed to be healthy.
func (ep *trackedEndpoint) inService(now time.Time, router *routing.Router) bool {
	if !now.After(ep.avoidUntil) || ep.isReplaced(now) || len(ep.unreachedBy) >= minWitnesses && ep.unreached(now) >= minWitnesses {
		return false
	}
	return ep.failedAt.IsZero() || router.InService(now, ep.id())
}

// isReplaced reports whether the endpoint's incarnation has ended although the directory still lists it.
func (ep *trackedEndpoint) isReplaced(now time.Time) bool {
	return !ep.replacedAt.IsZero() && now.Sub(ep.replacedAt) < avoidReplacedFor
}

// reportsFailure reports whether the endpoint's failure is included in reports to the peers.
func (ep *trackedEndpoint) reportsFailure(now time.Time) bool {
	return now.Sub(ep.failedAt) < reportFailureFor && !ep.notReached || ep.isReplaced(now)
}

// reportsNotReached reports whether reports to the peers say that this node does not reach the endpoint.
func (ep *trackedEndpoint) reportsNotReached(now time.Time) bool {
	return now.Sub(ep.failedAt) < reportFailureFor && ep.notReached
}

// id returns the endpoint ID with its incarnation.
func (ep *trackedEndpoint) id() domain.EndpointID { return ep.state.ID }
