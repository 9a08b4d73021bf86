package coordinator

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/endpoint"
)

// result is the outcome of an order, as exported in metrics.
type result string

const (
	resultAccepted result = "accepted"
	// resultVerified counts orders whose effect was read back from the engine.
	resultVerified result = "verified"
	resultRefused  result = "refused"
	resultOldFence result = "old_fence"
	resultNotSent  result = "not_sent"
	resultUnknown  result = "unknown"
	// resultLastReplicaKept counts unloads that were not sent, because no other replica
	// of the model was ready.
	resultLastReplicaKept result = "kept_last"
)

type counters struct {
	set          *metrics.Set
	readFailures *metrics.Counter
	superseded   *metrics.Counter
	terms        *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:          set,
		readFailures: set.GetOrCreateCounter("hawthornrill_coordinator_unread_total"),
		superseded:   set.GetOrCreateCounter("hawthornrill_coordinator_overtaken_total"),
		terms:        set.GetOrCreateCounter("hawthornrill_coordinator_terms_total"),
	}
}

func (m *counters) result(kind endpoint.OrderKind, r result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_coordinator_orders_total{kind=%q,result=%q}`, kind, r)).Inc()
}
