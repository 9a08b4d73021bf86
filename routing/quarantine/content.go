package quarantine

import (
	"slices"
	"time"
)

// maxEndpoints limits the endpoints tracked for one content; further ones would not change the result.
const maxEndpoints = 8

// aloneScore is the score added if the content was the only one running during a crash.
const aloneScore = 2

// suspicion records that a content was running during crashes of one endpoint.
type suspicion struct {
	endpoint uint64
	crashes  int
	alone    bool
	at       time.Time
}

// score returns 2 for the first crash plus 1 for each further one, and aloneScore if the content was
// alone.
func (s suspicion) score() int {
	score := 1 + s.crashes
	if s.alone {
		score += aloneScore
	}
	return score
}

// content is the evidence for one fingerprint. It is immutable.
type content struct {
	suspicions []suspicion
	// clearedAt is the time of the last completion, which invalidates older suspicions.
	clearedAt time.Time
}

// withSuspicion returns the content with the suspicion added, and whether it has changed.
func (c content) withSuspicion(s suspicion) (content, bool) {
	if !s.at.After(c.clearedAt) {
		return c, false
	}
	index := slices.IndexFunc(c.suspicions, func(o suspicion) bool { return o.endpoint == s.endpoint })
	if index < 0 {
		if len(c.suspicions) >= maxEndpoints {
			return c, false
		}
		c.suspicions = append(slices.Clip(c.suspicions), s)
		return c, true
	}
	old := c.suspicions[index]
	merged := suspicion{
		endpoint: s.endpoint,
		crashes:  max(old.crashes, s.crashes),
		alone:    old.alone || s.alone,
		at:       old.at,
	}
	if s.crashes > old.crashes {
		merged.at = s.at
	}
	if merged == old {
		return c, false
	}
	c.suspicions = slices.Clone(c.suspicions)
	c.suspicions[index] = merged
	return c, true
}

// withClearance returns the content after a completion at the given time, and whether it has changed.
func (c content) withClearance(at time.Time) (content, bool) {
	if !at.After(c.clearedAt) {
		return c, false
	}
	kept := slices.DeleteFunc(slices.Clone(c.suspicions), func(s suspicion) bool { return !s.at.After(at) })
	return content{suspicions: kept, clearedAt: at}, true
}

// crashCount returns the number of the endpoint's crashes during which the content was running.
func (c content) crashCount(endpoint uint64) int {
	for _, s := range c.suspicions {
		if s.endpoint == endpoint {
			return s.crashes
		}
	}
	return 0
}

// lastEvidenceAt returns the time of the latest evidence.
func (c content) lastEvidenceAt() time.Time {
	last := c.clearedAt
	for _, s := range c.suspicions {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// quarantinedUntil returns the end of the quarantine, zero if the score is below the threshold.
func (c content) quarantinedUntil(threshold int, initial, limit time.Duration) time.Time {
	score := 0
	for _, s := range c.suspicions {
		score += s.score()
	}
	if score < threshold {
		return time.Time{}
	}
	length := initial
	for i := threshold; i < score && length < limit; i++ {
		length *= 2
	}
	return c.lastEvidenceAt().Add(min(length, limit))
}

// evidence returns the evidence to send to other nodes.
func (c content) evidence(now time.Time, fingerprint uint64) []Evidence {
	var list []Evidence
	if !c.clearedAt.IsZero() {
		list = append(list, Evidence{Fingerprint: fingerprint, Age: now.Sub(c.clearedAt)})
	}
	for _, s := range c.suspicions {
		list = append(list, Evidence{
			Fingerprint: fingerprint,
			Endpoint:    s.endpoint,
			Crashes:     s.crashes,
			Alone:       s.alone,
			Age:         now.Sub(s.at),
		})
	}
	return list
}
