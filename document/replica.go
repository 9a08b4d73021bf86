package document

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// recentManifests is how many versions a node can tell differences to.
	recentManifests = 8
	// hintQueue bounds the announcements that wait; more are dropped and healed by
	// anti-entropy.
	hintQueue = 64
)

// replica is a document on this node.
type replica struct {
	service *Service
	spec    Spec
	storage storage
	hints   chan hint

	latest  atomic.Pointer[held]
	inForce atomic.Pointer[held]

	// applying makes adoptions follow one another.
	applying sync.Mutex

	mu        sync.Mutex
	recent    []manifestOf
	condition Condition
	since     time.Time
	forwarded map[domain.NodeID]Stamp
}

// hint tells where a version may be had.
type hint struct {
	stamp Stamp
	from  domain.Member
	root  domain.NodeID
}

// manifestOf is a version's manifest.
type manifestOf struct {
	stamp  Stamp
	hashes []Hash
}

func newReplica(s *Service, spec Spec) *replica {
	return &replica{
		service:   s,
		spec:      spec,
		storage:   storage{store: s.options.Store, name: spec.Name, timeout: s.options.StoreTimeout},
		hints:     make(chan hint, hintQueue),
		condition: Condition{Name: spec.Name},
		forwarded: make(map[domain.NodeID]Stamp),
	}
}

// adopt takes a version if it is later than the one held, and applies it. It
// reports whether it took it; an error of Apply goes into the condition.
func (r *replica) adopt(h *held) bool {
	r.applying.Lock()
	defer r.applying.Unlock()
	before := r.latest.Load()
	if !h.version.After(before.stamp()) {
		return false
	}
	r.latest.Store(h)
	r.noteHeld(h, before)
	r.apply(h)
	return true
}

// adoptGood puts an earlier version in force on a node that has just started and
// can't apply the latest one.
func (r *replica) adoptGood(h *held) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if h.version.After(r.inForce.Load().stamp()) {
		r.apply(h)
	}
}

// apply puts a version in force, or notes why it can't be.
func (r *replica) apply(h *held) {
	var err error
	if r.spec.Apply != nil {
		err = r.spec.Apply(h.version, h.content.value().Bytes())
	}
	if err == nil {
		r.inForce.Store(h)
	}
	r.noteApplied(h, err)
}

func (r *replica) noteHeld(h, before *held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.condition.Held = h.version.Stamp
	if before.stamp().Generation == h.version.Generation {
		r.condition.Displaced = before.stamp()
		r.service.options.Logger.Error().Str("document", r.spec.Name).
			Stringer("displaced", before.stamp()).Stringer("by", h.version.Stamp).
			Msg("two accepted versions have the same generation")
	}
	r.recent = firstOf(slices.Concat([]manifestOf{{h.version.Stamp, h.content.hashes}}, r.recent), recentManifests)
}

func (r *replica) noteApplied(h *held, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.condition.Error = err.Error()
		r.service.meters.applyErrors.Inc()
		r.service.options.Logger.Error().Str("document", r.spec.Name).
			Uint64("generation", h.version.Generation).Err(err).Msg("version can't be applied")
		return
	}
	r.condition.InForce = h.version.Stamp
	r.since = time.Now()
	if h.version.Stamp == r.condition.Held {
		r.condition.Error = ""
	}
	r.service.options.Logger.Info().Str("document", r.spec.Name).
		Uint64("generation", h.version.Generation).Msg("version in force")
}

// manifest returns the hashes of a version held not long ago.
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

// stamp is that of the latest version held.
func (r *replica) stamp() Stamp { return r.latest.Load().stamp() }

// offer queues a hint, or drops it if too many wait.
func (r *replica) offer(h hint) {
	select {
	case r.hints <- h:
	default:
	}
}

// status returns the condition as it is now.
func (r *replica) status() Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.condition
	if c.InForce.Generation > 0 {
		c.InForceFor = time.Since(r.since)
	}
	return c
}

// setCondition changes the condition under its lock.
func (r *replica) setCondition(change func(c *Condition)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.condition)
}

// firstForward reports whether the announcement has not been handed on yet in
// the tree of that root, and notes that it has.
func (r *replica) firstForward(root domain.NodeID, stamp Stamp) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !stamp.After(r.forwarded[root]) {
		return false
	}
	if len(r.forwarded) > hintQueue {
		clear(r.forwarded)
	}
	r.forwarded[root] = stamp
	return true
}
