package quarantine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// tellFor is for how long evidence is told, some ten reports between nodes of which some may be lost.
	tellFor = 2 * time.Second
	// toldMost bounds the evidence in one report, some 30 bytes each.
	toldMost = 32
	// boardThreshold quarantines a content at which three endpoints broke off: two do so by chance where many answers are
	// lost, and operators allow three crashes.
	boardThreshold = 6
)

// Tracker is a node's Set for nodes that tell each other what they hold with their periodic reports. It is safe for
// concurrent use.
type Tracker struct {
	set *Set
	log zerolog.Logger

	mu   sync.Mutex
	told []toldEvidence
}

type toldEvidence struct {
	evidence Evidence
	at       time.Time
}

// NewTracker returns a board without evidence.
func NewTracker(log zerolog.Logger) *Tracker {
	return &Tracker{set: NewSet(Options{Threshold: boardThreshold}), log: log}
}

// Quarantined returns for how long the content must not be run, 0 if it may be.
func (b *Tracker) Quarantined(fingerprint uint64) time.Duration {
	if b.set.Len() == 0 {
		return 0
	}
	return b.set.Quarantined(time.Now(), fingerprint)
}

// Broke tells that the endpoint broke off while it ran the content.
func (b *Tracker) RecordFailure(endpoint domain.EndpointID, fingerprint uint64) {
	now := time.Now()
	b.tell(now, b.set.Crashed(now, endpoint, fingerprint, false))
	if left := b.set.Quarantined(now, fingerprint); left > 0 {
		b.log.Warn().Uint64("content", fingerprint).Str("endpoint", string(endpoint)).Dur("for_ms", left).
			Msg("content breaks off endpoints, quarantined")
	}
}

// Completed tells that the content was answered in full.
func (b *Tracker) Completed(fingerprint uint64) {
	if b.set.Len() > 0 {
		now := time.Now()
		b.tell(now, b.set.Completed(now, fingerprint))
	}
}

func (b *Tracker) tell(now time.Time, evidence []Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range evidence {
		b.told = append(b.told, toldEvidence{e, now.Add(-e.Age)})
	}
}

// News returns the latest evidence, for the other nodes.
func (b *Tracker) RecentEvidence() []Evidence {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.told) > 0 && (now.Sub(b.told[0].at) > tellFor || len(b.told) > toldMost) {
		b.told = b.told[1:]
	}
	var news []Evidence
	for _, t := range b.told {
		e := t.evidence
		e.Age = now.Sub(t.at)
		news = append(news, e)
	}
	return news
}

// Heard takes another node's evidence. Each node tells its own, so that none is passed on.
func (b *Tracker) MergeEvidence(evidence []Evidence) {
	if len(evidence) > 0 {
		b.set.Merge(time.Now(), evidence)
	}
}
