package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// Set is the evidence held by a node. Reads are lock-free; writes are rare and copy the whole map. It
// is safe for concurrent use and does not read the clock.
type Set struct {
	initialDuration, maxDuration, retention time.Duration
	maxContents, threshold                  int

	mu       sync.Mutex
	contents atomic.Pointer[map[uint64]content]
}

// NewSet returns an empty set with the given options.
func NewSet(options Options) *Set {
	o := options.withDefaults()
	s := &Set{initialDuration: o.InitialDuration, maxDuration: o.MaxDuration, retention: o.Retention, maxContents: o.MaxContents, threshold: o.Threshold}
	s.contents.Store(&map[uint64]content{})
	return s
}

// Len returns the number of contents tracked.
func (s *Set) Len() int { return len(s.current()) }

// Quarantined returns the remaining quarantine time of the content, 0 if it may run.
func (s *Set) Quarantined(now time.Time, fingerprint uint64) time.Duration {
	c, ok := s.current()[fingerprint]
	if !ok {
		return 0
	}
	return max(c.quarantinedUntil(s.threshold, s.initialDuration, s.maxDuration).Sub(now), 0)
}

// Suspect reports whether the content was running during a crash that has not expired or been cleared.
func (s *Set) Suspect(now time.Time, fingerprint uint64) bool {
	c, ok := s.current()[fingerprint]
	return ok && len(c.suspicions) > 0 && now.Sub(c.lastEvidenceAt()) < s.retention
}

// Crashed records a crash of the endpoint and returns the evidence to replicate.
func (s *Set) Crashed(now time.Time, endpoint domain.EndpointID, fingerprint uint64, alone bool) []Evidence {
	if fingerprint == 0 {
		return nil
	}
	hash := xxhash.Sum64String(string(endpoint))
	crashes := s.current()[fingerprint].crashCount(hash) + 1
	return s.Merge(now, []Evidence{{Fingerprint: fingerprint, Endpoint: hash, Crashes: crashes, Alone: alone}})
}

// Completed clears the content and returns the evidence to replicate, none if the content was not a
// suspect.
func (s *Set) Completed(now time.Time, fingerprint uint64) []Evidence {
	c, ok := s.current()[fingerprint]
	if !ok || len(c.suspicions) == 0 {
		return nil
	}
	return s.Merge(now, []Evidence{{Fingerprint: fingerprint}})
}

// Merge adds evidence and returns the part that was new.
func (s *Set) Merge(now time.Time, evidence []Evidence) []Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	contents := maps.Clone(s.current())
	var added []Evidence
	for _, e := range evidence {
		if e.Fingerprint == 0 || e.Age < 0 || e.Age >= s.retention {
			continue
		}
		if next, changed := s.apply(now, contents[e.Fingerprint], e); changed {
			contents[e.Fingerprint] = next
			added = append(added, e)
		}
	}
	s.evict(now, contents)
	s.contents.Store(&contents)
	return added
}

func (s *Set) apply(now time.Time, c content, e Evidence) (content, bool) {
	at := now.Add(-e.Age)
	if e.Clears() {
		if len(c.suspicions) == 0 {
			return c, false
		}
		return c.withClearance(at)
	}
	return c.withSuspicion(suspicion{endpoint: e.Endpoint, crashes: e.Crashes, alone: e.Alone, at: at})
}

// evict removes expired contents, and those with the oldest evidence beyond maxContents.
func (s *Set) evict(now time.Time, contents map[uint64]content) {
	maps.DeleteFunc(contents, func(_ uint64, c content) bool { return now.Sub(c.lastEvidenceAt()) >= s.retention })
	for len(contents) > s.maxContents {
		delete(contents, oldestContent(contents))
	}
}

// oldestContent returns the fingerprint whose latest evidence is the oldest.
func oldestContent(contents map[uint64]content) uint64 {
	var found uint64
	var at time.Time
	for fingerprint, c := range contents {
		last := c.lastEvidenceAt()
		if at.IsZero() || last.Before(at) || last.Equal(at) && fingerprint < found {
			found, at = fingerprint, last
		}
	}
	return found
}

// Evidence returns all evidence that will not expire within minRemaining.
func (s *Set) Evidence(now time.Time, minRemaining time.Duration) []Evidence {
	var all []Evidence
	for fingerprint, c := range s.current() {
		if now.Sub(c.lastEvidenceAt()) < s.retention-minRemaining {
			all = append(all, c.evidence(now, fingerprint)...)
		}
	}
	return all
}

// Digest returns a hash that is equal for sets with the same suspicions, irrespective of age.
func (s *Set) Digest(now time.Time, minRemaining time.Duration) uint64 {
	var digest uint64
	for _, e := range s.Evidence(now, minRemaining) {
		if !e.Clears() {
			digest += e.hash()
		}
	}
	return digest
}

func (s *Set) current() map[uint64]content { return *s.contents.Load() }
