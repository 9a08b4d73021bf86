package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/origin"
)

// metricSet holds the gateway's counters and histograms.
type metricSet struct {
	set     *metrics.Set
	retries *metrics.Counter
	// forwarded counts the requests that another node took for this one.
	forwarded *metrics.Counter
	// resumptions counts the resumptions, by what is known of its origin.
	resumptions [origin.States]*metrics.Counter
}

func newMetricSet(set *metrics.Set, g *Gateway) *metricSet {
	set.NewGauge("hawthornrill_requests_active", func() float64 { return float64(g.active.Load()) })
	set.NewGauge("hawthornrill_request_body_bytes_held", func() float64 { return float64(g.bodies.Held()) })
	set.NewGauge("hawthornrill_answer_bytes_held", func() float64 { return float64(g.answers.Held()) })
	set.NewGauge("hawthornrill_requests_taken_over", func() float64 { return float64(g.takeovers.Load()) })
	m := &metricSet{
		set: set, retries: set.NewCounter("hawthornrill_request_retries_total"),
		forwarded: set.NewCounter("hawthornrill_requests_forwarded_total"),
	}
	for state := range m.resumptions {
		m.resumptions[state] = set.NewCounter(fmt.Sprintf("hawthornrill_stream_resumptions_total{origin=%q}", origin.State(state)))
	}
	return m
}

// recordRequest updates the counter and histograms of a completed request; first is zero if no event was received.
func (m *metricSet) recordRequest(kind, result string, first, total time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("hawthornrill_requests_total{kind=%q,result=%q}", kind, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("hawthornrill_request_seconds{kind=%q}", kind)).Update(total.Seconds())
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("hawthornrill_request_first_event_seconds{kind=%q}", kind)).Update(first.Seconds())
	}
}
