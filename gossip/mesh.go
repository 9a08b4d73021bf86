// Package gossip tells the other nodes, some times a second, what a node has outstanding at the endpoints, what it has
// let through of the organisations' limits, and how fresh its configuration is.
//
// All of it is soft state: a report lost is replaced by the next one, and nothing waits for one. Reports are datagrams,
// since a stream to a silent peer would hold newer reports back behind older ones. A report is idempotent; totals
// count from the start of the sender's life.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// Times of the mesh.
const (
	// reportEvery is the pause between reports to each peer in a small fleet, perPeer what each peer adds, so that a
	// node's own messages stay below 250 a second.
	reportEvery = 80 * time.Millisecond
	perPeer     = 4 * time.Millisecond
	// FreshFor is how long a peer's report counts as its state.
	FreshFor = 1200 * time.Millisecond
	// ForgetAfter is how long a silent peer that the store does not list is remembered.
	ForgetAfter = 10 * time.Second
)

// Address is where a peer takes reports.
type Address struct {
	Node domain.NodeID
	// HostPort is "IP:port".
	HostPort string
}

// Transport carries datagrams. Send must not block.
type Transport interface {
	Send(to string, datagram []byte) error
	// Receive waits for a datagram and returns it with its sender.
	Receive(buffer []byte) (n int, from string, err error)
}

// Parts are what a Mesh works with.
type Parts struct {
	Self      domain.NodeID
	Life      uint64
	Transport Transport
	Clock     boottime.Clock
	// Peers returns the nodes to report to; this node among them is passed over.
	Peers func() []Address
	// Fill completes a report before it is sent.
	Fill func(*Report)
	// Heard takes a peer's report. Sent is the instant of this node's clock after which the report was sent, zero if
	// that is not known.
	Heard   func(report *Report, sent boottime.Instant)
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Mesh sends and receives reports.
type Mesh struct {
	parts Parts
	mu    sync.Mutex
	peers map[domain.NodeID]*peer

	sent, received, bytes, dropped *metrics.Counter
}

// peer is what is known of another node.
type peer struct {
	life     uint64
	sentAt   boottime.Instant
	heardAt  boottime.Instant
	address  string
	silent   bool
	leaving  bool
	reported *Report
}

// New returns a mesh. Run must run.
func New(parts Parts) *Mesh {
	return &Mesh{
		parts:    parts,
		peers:    make(map[domain.NodeID]*peer),
		sent:     parts.Metrics.NewCounter("hawthornrill_peer_reports_sent_total"),
		received: parts.Metrics.NewCounter("hawthornrill_peer_reports_received_total"),
		bytes:    parts.Metrics.NewCounter("hawthornrill_peer_report_bytes_sent_total"),
		dropped:  parts.Metrics.NewCounter("hawthornrill_peer_reports_dropped_total"),
	}
}

// Run sends reports until the context ends. The transport must then be closed by its owner, which ends Listen.
func (m *Mesh) Run(ctx context.Context) error {
	for {
		addresses := m.targets()
		m.report(addresses)
		d := reportEvery + time.Duration(len(addresses))*perPeer
		timer := time.NewTimer(d*9/10 + rand.N(d/5))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// maxDatagram bounds a report: all that a UDP datagram holds.
const maxDatagram = 64 << 10

// Listen takes reports until the transport is closed.
func (m *Mesh) Listen(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.parts.Transport.Receive(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		m.take(buffer[:n], from)
	}
}

// take notes a report.
func (m *Mesh) take(datagram []byte, from string) {
	var report Report
	if err := cbor.Unmarshal(datagram, &report); err != nil || report.From == "" || report.From == m.parts.Self {
		m.dropped.Inc()
		return
	}
	m.received.Inc()
	if !m.note(&report, from) {
		return
	}
	var sent boottime.Instant
	if report.EchoLife == m.parts.Life {
		sent = report.Echo
	}
	m.parts.Heard(&report, sent)
}

// note keeps the report unless it is older than the last one.
func (m *Mesh) note(report *Report, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[report.From]
	if !ok {
		p = &peer{silent: true}
		m.peers[report.From] = p
	}
	if p.life == report.Life && report.SentAt <= p.sentAt {
		return false
	}
	if p.silent || p.life != report.Life {
		m.parts.Log.Info().Str("peer", string(report.From)).Uint64("life", report.Life).Msg("peer heard")
	}
	p.life, p.sentAt, p.heardAt, p.address = report.Life, report.SentAt, m.parts.Clock(), from
	p.silent, p.leaving, p.reported = false, report.Leaving, report
	return true
}

// targets returns the listed peers and those heard of lately.
func (m *Mesh) targets() map[domain.NodeID]string {
	targets := make(map[domain.NodeID]string)
	now := m.parts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.peers {
		silence := now.Sub(p.heardAt)
		if silence > FreshFor && !p.silent {
			p.silent = true
			m.parts.Log.Warn().Str("peer", string(id)).Dur("silence_ms", silence).Msg("peer silent")
		}
		if silence < ForgetAfter {
			targets[id] = p.address
			continue
		}
		delete(m.peers, id)
	}
	for _, a := range m.parts.Peers() {
		targets[a.Node] = a.HostPort
	}
	delete(targets, m.parts.Self)
	return targets
}

// report sends one report to each target.
func (m *Mesh) report(targets map[domain.NodeID]string) {
	report := Report{From: m.parts.Self, Life: m.parts.Life}
	m.parts.Fill(&report)
	for id, address := range targets {
		report.SentAt = m.parts.Clock()
		report.Echo, report.EchoLife = m.echo(id)
		datagram, err := cbor.Marshal(report)
		if err == nil {
			err = m.parts.Transport.Send(address, datagram)
		}
		if err != nil {
			m.dropped.Inc()
			m.parts.Log.Debug().Err(err).Str("peer", string(id)).Msg("report not sent")
			continue
		}
		m.sent.Inc()
		m.bytes.Add(len(datagram))
	}
}

func (m *Mesh) echo(id domain.NodeID) (boottime.Instant, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[id]; ok {
		return p.sentAt, p.life
	}
	return 0, 0
}

// Fleet counts the nodes: those that may be alive, this one included, and those heard from lately.
type Fleet struct {
	Known int
	Heard int
}

// Fleet returns the present counts.
func (m *Mesh) Fleet() Fleet {
	now := m.parts.Clock()
	known := map[domain.NodeID]bool{m.parts.Self: true}
	for _, a := range m.parts.Peers() {
		known[a.Node] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := 1
	for id, p := range m.peers {
		known[id] = true
		if now.Sub(p.heardAt) <= FreshFor {
			heard++
		}
	}
	return Fleet{Known: len(known), Heard: heard}
}
