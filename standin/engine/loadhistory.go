package engine

import (
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// loadHistory keeps recent load samples, so that reports can lag behind.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample // in chronological order
}

type loadSample struct {
	at     time.Time
	report endpoint.LoadReport
}

// samplesPerLag sets the resolution: samples closer than lag/samplesPerLag are
// merged.
const samplesPerLag = 16

// add records the load that applies from now on.
func (h *loadHistory) add(now time.Time, report endpoint.LoadReport) {
	n := len(h.samples)
	if n > 1 && now.Sub(h.samples[n-2].at) < h.lag/samplesPerLag {
		h.samples[n-1] = loadSample{at: now, report: report}
		return
	}
	h.samples = append(h.samples, loadSample{at: now, report: report})
	h.prune(now)
}

// prune drops samples that no later report can return.
func (h *loadHistory) prune(now time.Time) {
	old := 0
	for old+1 < len(h.samples) && !h.samples[old+1].at.After(now.Add(-h.lag)) {
		old++
	}
	h.samples = append(h.samples[:0], h.samples[old:]...)
}

// report returns the load as of one lag ago, or the oldest sample if there is none
// that old.
func (h *loadHistory) report(now time.Time) endpoint.LoadReport {
	report := h.samples[0].report
	for _, s := range h.samples {
		if s.at.After(now.Add(-h.lag)) {
			break
		}
		report = s.report
	}
	report.Age = h.lag
	return report
}
