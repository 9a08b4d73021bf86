package engine

import (
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// history keeps the load of the recent past, so that reports can be stale.
type history struct {
	lag     time.Duration
	samples []sample // in order of time
}

type sample struct {
	at     time.Time
	report endpoint.LoadReport
}

// resolution is the share of the lag within which samples are merged.
const resolution = 16

// add notes the load that holds from now on.
func (h *history) add(now time.Time, report endpoint.LoadReport) {
	n := len(h.samples)
	if n > 1 && now.Sub(h.samples[n-2].at) < h.lag/resolution {
		h.samples[n-1] = sample{at: now, report: report}
		return
	}
	h.samples = append(h.samples, sample{at: now, report: report})
	h.forget(now)
}

// forget drops what no report can show any more.
func (h *history) forget(now time.Time) {
	old := 0
	for old+1 < len(h.samples) && !h.samples[old+1].at.After(now.Add(-h.lag)) {
		old++
	}
	h.samples = append(h.samples[:0], h.samples[old:]...)
}

// report returns the load as it was a lag ago, or the first that is known.
func (h *history) report(now time.Time) endpoint.LoadReport {
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
