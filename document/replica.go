package document

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// maxRecentManifests is the number of recent versions that a node can use as bases
	// of deltas.
	maxRecentManifests = 8
	// hintQueueSize limits the queued announcements. Further ones are dropped;
	// anti-entropy finds those versions later.
	hintQueueSize = 64
)

// replica is the local copy of a document.
type replica struct {
	service *Service
	spec    Spec
	storage storage
	hints   chan hint

	latest  atomic.Pointer[loadedVersion]
	inForce atomic.Pointer[loadedVersion]

	// adoptMu serializes changes of latest and inForce.
	adoptMu sync.Mutex

	mu        sync.Mutex
	recent    []stampedManifest
	condition Condition
	since     time.Time
	forwarded map[domain.NodeID]Stamp
}

// hint names a peer that may have a version. treeRoot is the root of the broadcast
// tree of an announcement; it is empty for other hints.
type hint struct {
	stamp    Stamp
	from     domain.Member
	treeRoot domain.NodeID
}

// stampedManifest is a version's stamp and manifest.
type stampedManifest struct {
	stamp  Stamp
	hashes []Hash
}

func newReplica(s *Service, spec Spec) *replica {
	return &replica{
		service:   s,
		spec:      spec,
		storage:   storage{store: s.options.Store, name: spec.Name, timeout: s.options.StoreTimeout},
		hints:     make(chan hint, hintQueueSize),
		condition: Condition{Name: spec.Name},
		forwarded: make(map[domain.NodeID]Stamp),
	}
}

// adopt stores and applies a version if it is later than the one held. It reports
// whether it was; an error of Apply is recorded in the condition.
func (r *replica) adopt(h *loadedVersion) bool {
	r.adoptMu.Lock()
	defer r.adoptMu.Unlock()
	before := r.latest.Load()
	if !h.version.After(before.stamp()) {
		return false
	}
	r.latest.Store(h)
	r.recordHeld(h, before)
	r.apply(h)
	return true
}

// applyLastGood puts an earlier version in force on a node that started while the
// latest version can't be applied.
func (r *replica) applyLastGood(h *loadedVersion) {
	r.adoptMu.Lock()
	defer r.adoptMu.Unlock()
	if h.version.After(r.inForce.Load().stamp()) {
		r.apply(h)
	}
}

// apply puts a version in force, or records why it can't be applied.
func (r *replica) apply(h *loadedVersion) {
	var err error
	if r.spec.Apply != nil {
		err = r.spec.Apply(h.version, h.content.value().Bytes())
	}
	if err == nil {
		r.inForce.Store(h)
	}
	r.recordApplied(h, err)
}

func (r *replica) recordHeld(h, before *loadedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.condition.Held = h.version.Stamp
	if before.stamp().Generation == h.version.Generation {
		r.condition.Displaced = before.stamp()
		r.service.options.Logger.Error().Str("document", r.spec.Name).
			Stringer("displaced", before.stamp()).Stringer("by", h.version.Stamp).
			Msg("version displaced by another one with the same generation")
	}
	r.recent = firstN(slices.Concat([]stampedManifest{{h.version.Stamp, h.content.hashes}}, r.recent), maxRecentManifests)
}

func (r *replica) recordApplied(h *loadedVersion, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.condition.Error = err.Error()
		r.service.counters.applyErrors.Inc()
		r.service.options.Logger.Error().Str("document", r.spec.Name).
			Uint64("generation", h.version.Generation).Err(err).Msg("version could not be applied")
		return
	}
	r.condition.InForce = h.version.Stamp
	r.since = time.Now()
	if h.version.Stamp == r.condition.Held {
		r.condition.Error = ""
	}
	r.service.options.Logger.Info().Str("document", r.spec.Name).
		Uint64("generation", h.version.Generation).Msg("version applied")
}

// manifest returns the part hashes of a recently held version.
func (r *replica) manifest(stamp Stamp) ([]Hash, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.recent {
		if m.stamp == stamp {
			return m.hashes, true
		}
	}
	return nil, false
}

// stamp returns the stamp of the latest version held.
func (r *replica) stamp() Stamp { return r.latest.Load().stamp() }

// enqueueHint queues a hint, or drops it if the queue is full.
func (r *replica) enqueueHint(h hint) {
	select {
	case r.hints <- h:
	default:
	}
}

// currentCondition returns the condition with InForceFor filled in.
func (r *replica) currentCondition() Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.condition
	if c.InForce.Generation > 0 {
		c.InForceFor = time.Since(r.since)
	}
	return c
}

// updateCondition changes the condition while holding r.mu.
func (r *replica) updateCondition(change func(c *Condition)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.condition)
}

// markForwarded records that the announcement is forwarded in the broadcast tree with
// that root. It returns false if this or a later one already was.
func (r *replica) markForwarded(root domain.NodeID, stamp Stamp) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !stamp.After(r.forwarded[root]) {
		return false
	}
	if len(r.forwarded) > hintQueueSize {
		clear(r.forwarded)
	}
	r.forwarded[root] = stamp
	return true
}
