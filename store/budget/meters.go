package budget

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds the metrics and the call counts by purpose.
type meters struct {
	set   *metrics.Set
	mu    sync.Mutex
	total map[Purpose]uint64
}

func newMeters(set *metrics.Set) *meters {
	return &meters{set: set, total: make(map[Purpose]uint64)}
}

func (m *meters) recordCall(p Purpose, operation string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_store_calls_total{purpose=%q,operation=%q}`, p, operation)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total[p]++
}

func (m *meters) recordError(p Purpose, operation string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_store_errors_total{purpose=%q,operation=%q}`, p, operation)).Inc()
}

func (m *meters) recordWait(p Purpose, d time.Duration) {
	m.set.GetOrCreateFloatCounter(fmt.Sprintf(`hawthornrill_store_held_back_seconds_total{purpose=%q}`, p)).Add(d.Seconds())
}

func (m *meters) recordRead(p Purpose, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_store_read_bytes_total{purpose=%q}`, p)).Add(bytes)
}

func (m *meters) recordWrite(p Purpose, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_store_written_bytes_total{purpose=%q}`, p)).Add(bytes)
}

func (m *meters) counts() map[Purpose]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.total)
}
