package quarantine

import (
	"slices"
	"time"
)

// maxEndpoints bounds the endpoints remembered of one content; more change nothing.
const maxEndpoints = 8

// aloneScore is what having been alone at a crash counts.
const aloneScore = 2

// suspicion is a content's presence at the crashes of one endpoint.
type suspicion struct {
	endpoint uint64
	crashes  int
	alone    bool
	at       time.Time
}

// score is 2 for a first crash and 1 for each further one.
func (s suspicion) score() int {
	score := 1 + s.crashes
	if s.alone {
		score += aloneScore
	}
	return score
}

// content is what is known of one fingerprint. It is immutable.
type content struct {
	suspicions []suspicion
	// clearedAt is when it last completed. Older suspicions do not count.
	clearedAt time.Time
}

// with returns the content with one more suspicion, or the same if that tells
// nothing new.
func (c content) with(s suspicion) (content, bool) {
	if !s.at.After(c.clearedAt) {
		return c, false
	}
	at := slices.IndexFunc(c.suspicions, func(o suspicion) bool { return o.endpoint == s.endpoint })
	if at < 0 {
		if len(c.suspicions) >= maxEndpoints {
			return c, false
		}
		c.suspicions = append(slices.Clip(c.suspicions), s)
		return c, true
	}
	old := c.suspicions[at]
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
	c.suspicions[at] = merged
	return c, true
}

// cleared returns the content as it is after having completed.
func (c content) cleared(at time.Time) (content, bool) {
	if !at.After(c.clearedAt) {
		return c, false
	}
	kept := slices.DeleteFunc(slices.Clone(c.suspicions), func(s suspicion) bool { return !s.at.After(at) })
	return content{suspicions: kept, clearedAt: at}, true
}

// crashes returns how often the content was at the endpoint's crashes.
func (c content) crashes(endpoint uint64) int {
	for _, s := range c.suspicions {
		if s.endpoint == endpoint {
			return s.crashes
		}
	}
	return 0
}

// last returns the instant of the newest evidence.
func (c content) last() time.Time {
	last := c.clearedAt
	for _, s := range c.suspicions {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// until returns the end of the quarantine from a score on, zero if there is none.
func (c content) until(threshold int, first, most time.Duration) time.Time {
	score := 0
	for _, s := range c.suspicions {
		score += s.score()
	}
	if score < threshold {
		return time.Time{}
	}
	length := first
	for i := threshold; i < score && length < most; i++ {
		length *= 2
	}
	return c.last().Add(min(length, most))
}

// evidence returns what there is to tell of the content.
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
