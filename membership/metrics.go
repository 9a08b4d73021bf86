package membership

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type serviceMetrics struct {
	probes              *metrics.Counter
	probeFailures       *metrics.Counter
	suspicions          *metrics.Counter
	declaredUnreachable *metrics.Counter
	refutations         *metrics.Counter
	syncs               *metrics.Counter
	exchanges           *metrics.Counter
	listFailures        *metrics.Counter
}

func newServiceMetrics(set *metrics.Set, view View) *serviceMetrics {
	for i, name := range statusNames {
		status := Status(i)
		set.GetOrCreateGauge(fmt.Sprintf("hawthornrill_membership_peers{status=%q}", name), func() float64 {
			return float64(count(view.Current(), status))
		})
	}
	return &serviceMetrics{
		probes:              set.GetOrCreateCounter("hawthornrill_membership_probes_total"),
		probeFailures:       set.GetOrCreateCounter("hawthornrill_membership_failed_pings_total"),
		suspicions:          set.GetOrCreateCounter("hawthornrill_membership_suspicions_total"),
		declaredUnreachable: set.GetOrCreateCounter("hawthornrill_membership_declared_unreachable_total"),
		refutations:         set.GetOrCreateCounter("hawthornrill_membership_refutations_total"),
		syncs:               set.GetOrCreateCounter("hawthornrill_membership_full_syncs_total"),
		exchanges:           set.GetOrCreateCounter("hawthornrill_membership_exchanges_total"),
		listFailures:        set.GetOrCreateCounter("hawthornrill_membership_list_failures_total"),
	}
}

// count returns the number of peers with the status, including the node itself.
func count(s *Snapshot, status Status) int {
	total := 0
	for _, p := range s.Peers {
		if p.Status == status {
			total++
		}
	}
	return total
}
