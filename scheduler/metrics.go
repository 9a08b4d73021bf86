package scheduler

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/answer"
)

// metricSet counts requests by how they ended.
type metricSet struct {
	set *metrics.Set
}

func newMetricSet() *metricSet { return &metricSet{set: metrics.NewSet()} }

// ended counts one request. Outcomes and codes are few and fixed.
func (m *metricSet) ended(end answer.End) {
	outcome := string(end.Outcome)
	if end.Complete() {
		outcome = "complete"
	}
	name := `hawthornrill_requests_total{outcome="` + outcome + `",code="` + string(end.Code) + `"}`
	m.set.GetOrCreateCounter(name).Inc()
}

// WriteMetrics writes the scheduler's metrics in Prometheus text format.
func (s *Scheduler) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }
