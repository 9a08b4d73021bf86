package coordinator

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/endpoint"
)

// result is how an order ended, as it stands in metrics.
type result string

const (
	resultAccepted result = "accepted"
	// resultVerified orders were read back.
	resultVerified result = "verified"
	resultRefused  result = "refused"
	resultOldFence result = "old_fence"
	resultNotSent  result = "not_sent"
	resultUnknown  result = "unknown"
	// resultKept unloads were not given, since no other runner had the model.
	resultKept result = "kept_last"
)

type meters struct {
	set       *metrics.Set
	unread    *metrics.Counter
	overtaken *metrics.Counter
	terms     *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:       set,
		unread:    set.GetOrCreateCounter("hawthornrill_coordinator_unread_total"),
		overtaken: set.GetOrCreateCounter("hawthornrill_coordinator_overtaken_total"),
		terms:     set.GetOrCreateCounter("hawthornrill_coordinator_terms_total"),
	}
}

func (m *meters) result(kind endpoint.OrderKind, r result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_coordinator_orders_total{kind=%q,result=%q}`, kind, r)).Inc()
}
