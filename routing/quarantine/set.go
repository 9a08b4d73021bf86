package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// Set is the evidence that a node holds. Reading takes no lock; changes, which are
// rare, copy the whole. It is safe for concurrent use and has no clock.
type Set struct {
	first, most, memory time.Duration
	bound, threshold    int

	mu       sync.Mutex
	contents atomic.Pointer[map[uint64]content]
}

// NewSet returns an empty set with the options' numbers.
func NewSet(options Options) *Set {
	o := options.withDefaults()
	s := &Set{first: o.InitialDuration, most: o.MaxDuration, memory: o.Retention, bound: o.MaxContents, threshold: o.Threshold}
	s.contents.Store(&map[uint64]content{})
	return s
}

// Len returns the number of contents remembered.
func (s *Set) Len() int { return len(s.current()) }

// Quarantined returns for how long the content must not be run, 0 if it may be.
func (s *Set) Quarantined(now time.Time, fingerprint uint64) time.Duration {
	c, ok := s.current()[fingerprint]
	if !ok {
		return 0
	}
	return max(c.until(s.threshold, s.first, s.most).Sub(now), 0)
}

// Suspect reports whether a crash is remembered at which the content was running.
func (s *Set) Suspect(now time.Time, fingerprint uint64) bool {
	c, ok := s.current()[fingerprint]
	return ok && len(c.suspicions) > 0 && now.Sub(c.last()) < s.memory
}

// Crashed adds a crash of the endpoint and returns the evidence to tell others.
func (s *Set) Crashed(now time.Time, endpoint domain.EndpointID, fingerprint uint64, alone bool) []Evidence {
	if fingerprint == 0 {
		return nil
	}
	hash := xxhash.Sum64String(string(endpoint))
	crashes := s.current()[fingerprint].crashes(hash) + 1
	return s.Merge(now, []Evidence{{Fingerprint: fingerprint, Endpoint: hash, Crashes: crashes, Alone: alone}})
}

// Completed clears the content and returns the evidence to tell others, none if
// nothing was held against it.
func (s *Set) Completed(now time.Time, fingerprint uint64) []Evidence {
	c, ok := s.current()[fingerprint]
	if !ok || len(c.suspicions) == 0 {
		return nil
	}
	return s.Merge(now, []Evidence{{Fingerprint: fingerprint}})
}

// Merge takes evidence in and returns the part that was new.
func (s *Set) Merge(now time.Time, evidence []Evidence) []Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	contents := maps.Clone(s.current())
	var news []Evidence
	for _, e := range evidence {
		if e.Fingerprint == 0 || e.Age < 0 || e.Age >= s.memory {
			continue
		}
		if next, changed := s.apply(now, contents[e.Fingerprint], e); changed {
			contents[e.Fingerprint] = next
			news = append(news, e)
		}
	}
	s.trim(now, contents)
	s.contents.Store(&contents)
	return news
}

func (s *Set) apply(now time.Time, c content, e Evidence) (content, bool) {
	at := now.Add(-e.Age)
	if e.Clears() {
		if len(c.suspicions) == 0 {
			return c, false
		}
		return c.cleared(at)
	}
	return c.with(suspicion{endpoint: e.Endpoint, crashes: e.Crashes, alone: e.Alone, at: at})
}

// trim drops what has expired, and the oldest beyond the bound.
func (s *Set) trim(now time.Time, contents map[uint64]content) {
	maps.DeleteFunc(contents, func(_ uint64, c content) bool { return now.Sub(c.last()) >= s.memory })
	for len(contents) > s.bound {
		delete(contents, oldest(contents))
	}
}

// oldest returns the fingerprint of which nothing has been heard for longest.
func oldest(contents map[uint64]content) uint64 {
	var found uint64
	var at time.Time
	for fingerprint, c := range contents {
		last := c.last()
		if at.IsZero() || last.Before(at) || last.Equal(at) && fingerprint < found {
			found, at = fingerprint, last
		}
	}
	return found
}

// Evidence returns all that the set holds and that lasts for longer than least.
func (s *Set) Evidence(now time.Time, least time.Duration) []Evidence {
	var all []Evidence
	for fingerprint, c := range s.current() {
		if now.Sub(c.last()) < s.memory-least {
			all = append(all, c.evidence(now, fingerprint)...)
		}
	}
	return all
}

// Digest is equal for sets that suspect the same, ages aside.
func (s *Set) Digest(now time.Time, least time.Duration) uint64 {
	var digest uint64
	for _, e := range s.Evidence(now, least) {
		if !e.Clears() {
			digest += e.hash()
		}
	}
	return digest
}

func (s *Set) current() map[uint64]content { return *s.contents.Load() }
