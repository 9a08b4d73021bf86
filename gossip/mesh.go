// Package gossip exchanges state reports between nodes several times a second: a node's outstanding requests at the
// endpoints, its usage of the organisations' limits, and the version and age of its configuration.
//
// All of it is soft state: a lost report is replaced by the next one, and nothing waits for a report. Reports are sent as
// datagrams, since on a stream to an unresponsive peer older reports would delay newer ones. Reports are idempotent; totals
// count from the start of the sender's process.
package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

const (
	// MinReportValidity is the minimum time for which a report counts as the sender's current state: two reports may be lost.
	MinReportValidity = 1400 * time.Millisecond
	// SilentPeerRetention is how long a silent peer that is not listed in the store is kept.
	SilentPeerRetention = 10 * time.Second
	// confirmersPerDataCentre is the number of nodes per data centre that confirm the configuration for the others.
	confirmersPerDataCentre = 1
)

// Address is the address at which a peer receives reports.
type Address struct {
	Node       domain.NodeID
	DataCentre domain.DataCentre
	// HostPort is "IP:port".
	HostPort string
}

// ErrClosed is returned by Receive after the transport was closed.
var ErrClosed = errors.New("gossip: transport closed")

// Transport sends and receives datagrams. Send must not block. After the transport is closed, Receive returns an error that
// wraps ErrClosed.
type Transport interface {
	Send(to string, datagram []byte) error
	// Receive waits for a datagram and returns its length and its sender.
	Receive(buffer []byte) (n int, from string, err error)
}

// Dependencies are the collaborators and the identity of a Mesh.
type Dependencies struct {
	Self        domain.NodeID
	DataCentre  domain.DataCentre
	Incarnation uint64
	Transport   Transport
	Clock       boottime.Clock
	// Peers returns the nodes to report to. An entry for this node is ignored.
	Peers func() []Address
	// Fill sets the contents of a report before it is sent.
	Fill func(*Report)
	// ConfigurationSince returns what brings a peer with an earlier configuration version up to date: the changes since that
	// version and the document, each nil if unknown.
	ConfigurationSince func(version uint64) (changes []*routetable.Change, document []byte)
	// OnReport is called with each report of a peer. The report was sent after the instant sent of this node's clock, which
	// is zero if unknown.
	OnReport func(report *Report, sent boottime.Instant)
	// OnMessage, if set, is called with each datagram that is a CBOR array: a message of another component (SendMessage). The
	// datagram is valid until it returns.
	OnMessage func(datagram []byte, from string)
	Log       zerolog.Logger
	Metrics   *metrics.Set
}

// Mesh sends and receives reports.
type Mesh struct {
	deps  Dependencies
	mu    sync.Mutex
	peers map[domain.NodeID]*peer
	// partsSent counts the peers that were sent the identified parts since partsSince.
	partsSent  int
	partsSince boottime.Instant

	// pacer is used only by the goroutine that runs Run.
	pacer pacer

	sent, received, bytes, dropped *metrics.Counter
}

// peer is the known state of another node.
type peer struct {
	incarnation  uint64
	sentAt       boottime.Instant
	lastReportAt boottime.Instant
	address      string
	dataCentre   domain.DataCentre
	silent       bool
	leaving      bool
	// storeFails is true if the peer's calls to the store fail.
	storeFails bool
	// forwardsChanges is true if the peer forwards endpoint changes to its data centre.
	forwardsChanges bool
	// version is the peer's configuration version. behindSince is when it was first seen to be earlier than this node's, zero
	// if it is not.
	version     uint64
	behindSince boottime.Instant
	dueAt       boottime.Instant
	// interval is the interval at which the peer reports to this node.
	interval time.Duration
	// partsDigest is the digest of the peer's identified parts, partsSentAt when it was last sent this node's.
	partsDigest uint64
	partsSentAt boottime.Instant
}

// New returns a mesh. Run sends its reports and Listen receives those of the peers.
func New(deps Dependencies) *Mesh {
	return &Mesh{
		deps:     deps,
		peers:    make(map[domain.NodeID]*peer),
		sent:     deps.Metrics.NewCounter("hawthornrill_peer_reports_sent_total"),
		received: deps.Metrics.NewCounter("hawthornrill_peer_reports_received_total"),
		bytes:    deps.Metrics.NewCounter("hawthornrill_peer_report_bytes_sent_total"),
		dropped:  deps.Metrics.NewCounter("hawthornrill_peer_reports_dropped_total"),
	}
}

// tickInterval is how often the mesh checks which reports are due.
const tickInterval = 20 * time.Millisecond

// Run sends reports until the context ends. The owner of the transport must then close it, which ends Listen.
func (m *Mesh) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		m.sendReports(m.dueTargets())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxDatagram is the size of the receive buffer, the maximum size of a UDP datagram.
const maxDatagram = 64 << 10

// receiveRetryDelay is the delay after a failed receive.
const receiveRetryDelay = 50 * time.Millisecond

// Listen receives reports until the transport is closed. Receive errors are logged and otherwise ignored, since the next
// report replaces a lost one.
func (m *Mesh) Listen(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.deps.Transport.Receive(buffer)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrClosed):
			return err
		case err != nil:
			m.dropped.Inc()
			m.deps.Log.Warn().Err(err).Msg("failed to receive report")
			time.Sleep(receiveRetryDelay)
		default:
			m.handleDatagram(buffer[:n], from)
		}
	}
}

// handleDatagram decodes a report, records it and calls OnReport.
func (m *Mesh) handleDatagram(datagram []byte, from string) {
	if m.deps.OnMessage != nil && isArray(datagram) {
		m.deps.OnMessage(datagram, from)
		return
	}
	var report Report
	if err := cbor.Unmarshal(datagram, &report); err != nil || report.From == "" || report.From == m.deps.Self {
		m.dropped.Inc()
		return
	}
	m.received.Inc()
	if !m.recordReport(&report, from) {
		return
	}
	var sent boottime.Instant
	if report.EchoLife == m.deps.Incarnation {
		sent = report.Echo
	}
	m.deps.OnReport(&report, sent)
}

// isArray reports whether the datagram is a CBOR array (RFC 8949, section 3.1). Reports are maps.
func isArray(datagram []byte) bool {
	const majorTypeShift, array = 5, 4
	return len(datagram) > 0 && datagram[0]>>majorTypeShift == array
}

// SendMessage sends a datagram that is a CBOR array to the peer at the address; it does not block. Programs that know no messages
// drop it.
func (m *Mesh) SendMessage(to string, datagram []byte) error {
	return m.deps.Transport.Send(to, datagram)
}

// recordReport updates the sender's state and returns false if the report is not newer than the last one.
func (m *Mesh) recordReport(report *Report, from string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[report.From]
	if !ok {
		p = &peer{silent: true}
		m.peers[report.From] = p
	}
	if p.incarnation == report.Life && report.SentAt <= p.sentAt {
		return false
	}
	if p.silent || p.incarnation != report.Life {
		m.deps.Log.Info().Str("peer", string(report.From)).Uint64("life", report.Life).Msg("peer reachable")
	}
	p.incarnation, p.sentAt, p.lastReportAt, p.address = report.Life, report.SentAt, m.deps.Clock(), from
	p.silent, p.leaving, p.dataCentre, p.forwardsChanges = false, report.Leaving, report.DataCentre, report.forwardsChanges()
	p.storeFails = report.StoreFails
	p.version, p.interval, p.partsDigest = report.Version, report.Every, report.PartsDigest
	return true
}

// target is a peer to which a report is due.
type target struct {
	address string
	local   bool
	// interval is the interval between reports to the peer.
	interval time.Duration
}

// dueTargets returns the peers to which a report is due, among those listed and those with a recent report.
func (m *Mesh) dueTargets() map[domain.NodeID]target {
	now := m.deps.Clock()
	listed := m.deps.Peers()
	forwards := m.ForwardsChanges()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addListed(listed)
	m.expirePeers(now, listed)
	local, remote := m.intervals(forwards)
	due := make(map[domain.NodeID]target)
	for id, p := range m.peers {
		if now < p.dueAt {
			continue
		}
		to := target{p.address, p.dataCentre == m.deps.DataCentre, remote}
		if to.local {
			to.interval = local
		}
		p.dueAt = now.Add(to.interval*9/10 + rand.N(to.interval/5))
		due[id] = to
	}
	return due
}

// addListed adds listed peers that are not known yet.
func (m *Mesh) addListed(listed []Address) {
	for _, a := range listed {
		if _, ok := m.peers[a.Node]; !ok && a.Node != m.deps.Self {
			m.peers[a.Node] = &peer{silent: true, address: a.HostPort, dataCentre: a.DataCentre}
		}
	}
}

// expirePeers marks peers as silent and removes those that have been silent for long and are not listed.
func (m *Mesh) expirePeers(now boottime.Instant, listed []Address) {
	for id, p := range m.peers {
		silence := now.Sub(p.lastReportAt)
		if silence > validity(p.interval) && !p.silent {
			p.silent = true
			m.deps.Log.Warn().Str("peer", string(id)).Dur("silence_ms", silence).Msg("no current report from peer")
		}
		if silence > SilentPeerRetention && !slices.ContainsFunc(listed, func(a Address) bool { return a.Node == id }) {
			delete(m.peers, id)
		}
	}
}

// encMode encodes floating-point numbers in the shortest form that preserves the value.
var encMode = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())

func must(mode cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err) // EncMode fails only for contradictory options.
	}
	return mode
}

// sendReports sends one report to each target.
func (m *Mesh) sendReports(targets map[domain.NodeID]target) {
	if len(targets) == 0 {
		return
	}
	report := Report{From: m.deps.Self, Life: m.deps.Incarnation, DataCentre: m.deps.DataCentre}
	m.deps.Fill(&report)
	changes, versions, crashParts := report.Changes, report.Versions, report.CrashParts
	updates := configurationUpdates{configurationSince: m.deps.ConfigurationSince, cache: make(map[uint64]configurationUpdate)}
	size := 0
	for id, to := range targets {
		report.Changes, report.Versions, report.Every = nil, nil, to.interval
		if to.local {
			report.Changes, report.Versions = changes, versions
		}
		var update configurationUpdate
		if version, lacks := m.lacksConfiguration(id, &report); lacks {
			update = updates.forVersion(version)
		}
		report.Steps, report.Document, report.CrashParts = update.steps, update.document, nil
		if m.lacksCrashParts(id, &report) {
			report.CrashParts = crashParts
		}
		report.SentAt = m.deps.Clock()
		report.Echo, report.EchoLife = m.echo(id)
		datagram, err := encMode.Marshal(report)
		if err == nil {
			err = m.deps.Transport.Send(to.address, datagram)
		}
		if err != nil {
			m.dropped.Inc()
			m.deps.Log.Debug().Err(err).Str("peer", string(id)).Msg("failed to send report")
			continue
		}
		m.sent.Inc()
		m.bytes.Add(len(datagram))
		size = len(datagram)
	}
	m.pacer.observeSize(size)
}

func (m *Mesh) echo(id domain.NodeID) (boottime.Instant, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[id]; ok {
		return p.sentAt, p.incarnation
	}
	return 0, 0
}
