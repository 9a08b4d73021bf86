package wslink

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/peer"
)

// maxMethods limits the number of method labels; further methods are counted as
// "other".
const maxMethods = 256

// linkMetrics holds the metrics of all links. Byte counts are payloads of WebSocket
// messages.
type linkMetrics struct {
	set           *metrics.Set
	receivedBytes *metrics.Counter
	receivedCount *metrics.Counter
	dials         *metrics.Counter
	dialFailures  *metrics.Counter
	refused       *metrics.Counter
	violations    *metrics.Counter

	// byMethod maps peer.Method to *methodMetrics.
	byMethod sync.Map
	mu       sync.Mutex
	methods  int
	other    *methodMetrics
}

// methodMetrics counts the messages sent for a method.
type methodMetrics struct {
	messages *metrics.Counter
	bytes    *metrics.Counter
}

func newLinkMetrics(set *metrics.Set) *linkMetrics {
	m := &linkMetrics{
		set:           set,
		receivedBytes: set.GetOrCreateCounter("hawthornrill_peer_received_bytes_total"),
		receivedCount: set.GetOrCreateCounter("hawthornrill_peer_received_messages_total"),
		dials:         set.GetOrCreateCounter("hawthornrill_peer_dials_total"),
		dialFailures:  set.GetOrCreateCounter("hawthornrill_peer_dial_failures_total"),
		refused:       set.GetOrCreateCounter("hawthornrill_peer_refused_requests_total"),
		violations:    set.GetOrCreateCounter("hawthornrill_peer_protocol_violations_total"),
	}
	m.other = m.newMethod("other")
	return m
}

func (m *linkMetrics) received(bytes int) {
	m.receivedCount.Inc()
	m.receivedBytes.Add(bytes)
}

// sent counts a sent frame. Frames without a method are counted as "reply".
func (m *linkMetrics) sent(method peer.Method, bytes int) {
	if method == "" {
		method = "reply"
	}
	counters := m.method(method)
	counters.messages.Inc()
	counters.bytes.Add(bytes)
}

func (m *linkMetrics) method(method peer.Method) *methodMetrics {
	if found, ok := m.byMethod.Load(method); ok {
		return found.(*methodMetrics)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.methods >= maxMethods {
		return m.other
	}
	found, loaded := m.byMethod.LoadOrStore(method, m.newMethod(method))
	if !loaded {
		m.methods++
	}
	return found.(*methodMetrics)
}

func (m *linkMetrics) newMethod(method peer.Method) *methodMetrics {
	return &methodMetrics{
		messages: m.set.GetOrCreateCounter(fmt.Sprintf("hawthornrill_peer_sent_messages_total{method=%q}", method)),
		bytes:    m.set.GetOrCreateCounter(fmt.Sprintf("hawthornrill_peer_sent_bytes_total{method=%q}", method)),
	}
}
