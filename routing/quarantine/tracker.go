package quarantine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// evidenceReportPeriod is how long evidence is included in reports: about ten reports between
	// nodes, some of which may be lost.
	evidenceReportPeriod = 2 * time.Second
	// maxReportedEvidence limits the evidence in one report, at about 30 bytes each.
	maxReportedEvidence = 32
	// trackerThreshold quarantines a content after failures of three endpoints: two failures occur by
	// chance when many answers are lost, and the operators' limit is three crashes.
	trackerThreshold = 6
)

// Tracker is a Set for nodes that exchange evidence in their periodic reports. It is safe for
// concurrent use.
type Tracker struct {
	set *Set
	log zerolog.Logger

	mu     sync.Mutex
	recent []timedEvidence
}

type timedEvidence struct {
	evidence Evidence
	at       time.Time
}

// NewTracker returns a Tracker without evidence.
func NewTracker(log zerolog.Logger) *Tracker {
	return &Tracker{set: NewSet(Options{Threshold: trackerThreshold}), log: log}
}

// Quarantined returns the remaining quarantine time of the content, 0 if it may run.
func (t *Tracker) Quarantined(fingerprint uint64) time.Duration {
	if t.set.Len() == 0 {
		return 0
	}
	return t.set.Quarantined(time.Now(), fingerprint)
}

// RecordFailure records that the endpoint failed while it was running the content.
func (t *Tracker) RecordFailure(endpoint domain.EndpointID, fingerprint uint64) {
	now := time.Now()
	t.addRecent(now, t.set.Crashed(now, endpoint, fingerprint, false))
	if remaining := t.set.Quarantined(now, fingerprint); remaining > 0 {
		t.log.Warn().Uint64("content", fingerprint).Str("endpoint", string(endpoint)).Dur("for_ms", remaining).
			Msg("content breaks off endpoints, quarantined")
	}
}

// Exonerate drops the failures of the endpoints, given by the hashes of their identifiers: their cause is known.
func (t *Tracker) Exonerate(endpoints []uint64) { t.set.Exonerate(endpoints) }

// Completed records that a request with the content was answered in full.
func (t *Tracker) Completed(fingerprint uint64) {
	if t.set.Len() > 0 {
		now := time.Now()
		t.addRecent(now, t.set.Completed(now, fingerprint))
	}
}

func (t *Tracker) addRecent(now time.Time, evidence []Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		t.recent = append(t.recent, timedEvidence{e, now.Add(-e.Age)})
	}
}

// RecentEvidence returns the evidence to include in the next report.
func (t *Tracker) RecentEvidence() []Evidence {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.recent) > 0 && (now.Sub(t.recent[0].at) > evidenceReportPeriod || len(t.recent) > maxReportedEvidence) {
		t.recent = t.recent[1:]
	}
	var evidence []Evidence
	for _, r := range t.recent {
		e := r.evidence
		e.Age = now.Sub(r.at)
		evidence = append(evidence, e)
	}
	return evidence
}

// MergeEvidence adds evidence from another node's report. It is not forwarded, since each node reports
// its own.
func (t *Tracker) MergeEvidence(evidence []Evidence) {
	if len(evidence) > 0 {
		t.set.Merge(time.Now(), evidence)
	}
}
