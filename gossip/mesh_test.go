package gossip

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// network is an in-memory network. It drops datagrams between cut pairs.
type network struct {
	mu   sync.Mutex
	in   map[string]chan packet
	cut  map[[2]string]bool
	sent int
	// closed makes the network drop everything.
	closed bool
}

func newNetwork() *network {
	return &network{in: make(map[string]chan packet), cut: make(map[[2]string]bool)}
}

type packet struct {
	from     string
	datagram []byte
}

type port struct {
	net  *network
	name string
}

func (p port) Send(to string, datagram []byte) error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.sent++
	if p.net.closed || p.net.cut[[2]string{p.name, to}] {
		return nil
	}
	select {
	case p.net.in[to] <- packet{p.name, append([]byte(nil), datagram...)}:
	default:
	}
	return nil
}

func (p port) Receive(buffer []byte) (int, string, error) {
	p.net.mu.Lock()
	in := p.net.in[p.name]
	p.net.mu.Unlock()
	got, ok := <-in
	if !ok {
		return 0, "", ErrClosed
	}
	return copy(buffer, got.datagram), got.from, nil
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// member is a mesh that records what it receives.
type member struct {
	*Mesh
	mu        sync.Mutex
	ageBounds []time.Duration
	// forwarders are the nodes that forwarded endpoint changes.
	forwarders map[domain.NodeID]bool
	// version is the member's configuration version, raised by configurations it receives, and documentBytes the size of its
	// document. configurationSenders counts the configurations received, by sender.
	version       atomic.Uint64
	documentBytes atomic.Int64
	// changes are the configuration changes that the member sends in place of a larger document.
	changes atomic.Pointer[changeList]
	// padding is the number of bytes added to each report.
	padding atomic.Int64
	// storeFails is whether the member's calls to the store fail.
	storeFails           atomic.Bool
	configurationSenders map[domain.NodeID]int
}

// changeList wraps configuration changes for atomic access.
type changeList struct{ list []*routetable.Change }

// startFleet runs size meshes, assigned to the data centres in turn.
func startFleet(t *testing.T, net *network, size, centres int) []*member {
	start := time.Now()
	clock := func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(start)) }
	addresses := make([]Address, size)
	for i := range addresses {
		name := fmt.Sprintf("n%03d", i)
		addresses[i] = Address{Node: domain.NodeID(name), DataCentre: domain.DataCentre(fmt.Sprint("dc", i%centres)), HostPort: name}
		net.in[name] = make(chan packet, 1024)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	members := make([]*member, size)
	for i, a := range addresses {
		m := &member{forwarders: make(map[domain.NodeID]bool), configurationSenders: make(map[domain.NodeID]int)}
		m.documentBytes.Store(100)
		m.changes.Store(&changeList{})
		m.Mesh = New(Dependencies{
			Self: a.Node, DataCentre: a.DataCentre, Incarnation: uint64(i + 1), Transport: port{net, a.HostPort}, Clock: clock,
			Peers: func() []Address { return addresses },
			Fill: func(r *Report) {
				r.StoreFails = m.storeFails.Load()
				if n := m.padding.Load(); n > 0 {
					r.Failed = []domain.EndpointID{domain.EndpointID(strings.Repeat("x", int(n)))}
				}
				r.Version = m.version.Load()
				if m.ForwardsChanges() {
					r.SetEndpointChanges([]directory.Change{{After: 1, Last: 2, Revision: 2}}, true)
				}
			},
			ConfigurationSince: func(uint64) ([]*routetable.Change, []byte) {
				return m.changes.Load().list, make([]byte, m.documentBytes.Load())
			},
			OnReport: func(r *Report, sent boottime.Instant) {
				m.mu.Lock()
				defer m.mu.Unlock()
				if sent > 0 {
					m.ageBounds = append(m.ageBounds, clock().Sub(sent))
				}
				if len(r.Changes) > 0 {
					m.forwarders[r.From] = true
				}
				if len(r.Document)+len(r.Steps) > 0 {
					m.configurationSenders[r.From]++
					m.version.Store(max(m.version.Load(), r.Version))
				}
			},
			Log: zerolog.Nop(), Metrics: metrics.NewSet(),
		})
		members[i] = m
		running.Go(func() { _ = m.Run(ctx) })
		running.Go(func() { _ = m.Listen(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		net.mu.Lock()
		for _, in := range net.in {
			close(in)
		}
		net.closed = true
		net.mu.Unlock()
		running.Wait()
	})
	return members
}

func TestAllNodesReceiveReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 6, 3)
		time.Sleep(2 * time.Second)
		for _, m := range members {
			assert.DeepEqual(t, m.Fleet(), Fleet{Known: 6, Heard: 6, Near: 2})
		}
	})
}

func TestEchoBoundsReportAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 6, 3)
		time.Sleep(3 * time.Second)
		m := members[0]
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Assert(t, len(m.ageBounds) > 0)
		for _, age := range m.ageBounds[len(m.ageBounds)/2:] {
			assert.Assert(t, age <= time.Second, "%v", age)
		}
	})
}

func TestConfirmerPerDataCentreFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		members := startFleet(t, net, 6, 2)
		time.Sleep(2 * time.Second)
		assert.Equal(t, confirming(members), "n000 n001 ")
		for _, m := range members[1:] {
			net.setCut("n000", string(m.deps.Self), true)
		}
		time.Sleep(2 * MinReportValidity)
		assert.Equal(t, confirming(members), "n000 n001 n002 ", "the isolated node confirms for itself")
		assert.Equal(t, members[2].Fleet().Heard, 5)
		assert.Equal(t, members[2].Fleet().Known, 6, "a silent node that is listed is still known")
		for _, m := range members[1:] {
			net.setCut("n000", string(m.deps.Self), false)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, confirming(members), "n000 n001 ")
	})
}

// Guards against a data centre in which nobody confirms since the store turns the confirmer away.
func TestConfirmerWithoutStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 6, 2)
		time.Sleep(2 * time.Second)
		members[0].storeFails.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, confirming(members), "n000 n001 n002 ", "n000 tries again by itself")
		members[0].storeFails.Store(false)
		time.Sleep(time.Second)
		assert.Equal(t, confirming(members), "n000 n001 ")
	})
}

func confirming(members []*member) string {
	text := ""
	for _, m := range members {
		if m.Confirms() {
			text += string(m.deps.Self) + " "
		}
	}
	return text
}

func TestReportRateGrowsSlowerThanFleet(t *testing.T) {
	rate := func(size int) float64 {
		var perNode float64
		synctest.Test(t, func(t *testing.T) {
			net := newNetwork()
			startFleet(t, net, size, 3)
			time.Sleep(2 * time.Second)
			net.mu.Lock()
			before := net.sent
			net.mu.Unlock()
			time.Sleep(2 * time.Second)
			net.mu.Lock()
			perNode = float64(net.sent-before) / 2 / float64(size)
			net.mu.Unlock()
		})
		return perNode
	}
	assert.Assert(t, rate(6) < 60)
	assert.Assert(t, rate(72) < 300)
}

func TestInvalidDatagramIsDropped(t *testing.T) {
	m := New(Dependencies{Self: "a", Clock: func() boottime.Instant { return 1 }, OnReport: func(*Report, boottime.Instant) { t.Error("invalid datagram accepted") }, Log: zerolog.Nop(), Metrics: metrics.NewSet()})
	m.handleDatagram([]byte("rubbish"), "x")
	m.handleDatagram(nil, "x")
	assert.Equal(t, m.dropped.Get(), uint64(2))
}

// flakyTransport fails the first Receive, returns an invalid datagram from the second, and is closed afterwards.
type flakyTransport struct {
	port
	reads int
}

func (f *flakyTransport) Receive(buffer []byte) (int, string, error) {
	f.reads++
	switch f.reads {
	case 1:
		return 0, "", errors.New("no buffer space")
	case 2:
		return copy(buffer, "rubbish"), "x", nil
	default:
		return 0, "", ErrClosed
	}
}

func TestListenContinuesAfterReadError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &flakyTransport{}
		m := New(Dependencies{Self: "a", Transport: f, Clock: func() boottime.Instant { return 1 }, Log: zerolog.Nop(), Metrics: metrics.NewSet()})
		assert.ErrorIs(t, m.Listen(t.Context()), ErrClosed)
		assert.Equal(t, m.dropped.Get(), uint64(2))
	})
}
