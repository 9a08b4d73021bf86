package membership

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/peer/pki"
	"hawthornrill.example/hawthornrill/peer/wslink"
)

// linkCluster runs services over real TLS links on loopback.
type linkCluster struct {
	authority *pki.Authority
	seed      hostlist.Host
	services  []*Service
	links     []*wslink.Transport
	bytes     atomic.Int64
}

// countedConn counts the bytes of both directions on the dialling side.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// start runs one node until the benchmark ends.
func (x *linkCluster) start(b *testing.B, i int) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	self := memberOf(dcID(0), i, 1)
	self.Address = listener.Addr().String()
	bundle, err := x.authority.Bundle(self.Node, time.Now())
	assert.NilError(b, err)
	transport, err := wslink.New(wslink.Options{
		Self:        self,
		Credentials: pki.NewStatic(bundle),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return countedConn{conn, &x.bytes}, err
		},
	})
	assert.NilError(b, err)
	if i == 0 {
		x.seed = hostOf(self)
	}
	service := New(Options{Transport: transport, Seeds: []hostlist.Host{x.seed}})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = service.Run(ctx) }()
	go func() { _ = transport.Serve(ctx, listener) }()
	b.Cleanup(func() {
		stop()
		<-done
		_ = transport.Close(ctx)
	})
	x.services, x.links = append(x.services, service), append(x.links, transport)
}

// allAlive reports whether every node sees every node as alive.
func (x *linkCluster) allAlive() bool {
	for _, s := range x.services {
		if count(s.Current(), StatusAlive) != len(x.services) {
			return false
		}
	}
	return true
}

// BenchmarkSlopeOverLinks measures an idle data centre over real links in real
// time: processor time and bytes on the socket including link maintenance, and
// the memory of a node with its links.
func BenchmarkSlopeOverLinks(b *testing.B) {
	for _, nodes := range []int{7, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			authority, err := pki.NewAuthority(time.Now())
			assert.NilError(b, err)
			x := &linkCluster{authority: authority}
			before := heapInUse()
			for i := range nodes {
				x.start(b, i)
			}
			// Wait until every node has probed every other and all links are
			// open.
			time.Sleep(time.Duration(nodes)*DefaultProbeInterval + 5*time.Second)
			assert.Assert(b, x.allAlive())
			const window = 20 * time.Second
			cpu, bytes := processorTime(), x.bytes.Load()
			time.Sleep(window)
			cpu, bytes = processorTime()-cpu, x.bytes.Load()-bytes
			perNode := float64(nodes) * window.Seconds()
			b.ReportMetric(float64(cpu.Nanoseconds())/perNode, "cpu-ns/s/node")
			b.ReportMetric(2*float64(bytes)/perNode, "B/s/node")
			b.ReportMetric(float64(heapInUse()-before)/float64(nodes), "heap-B/node")
			links := 0
			for _, l := range x.links {
				links += len(l.State().Links)
			}
			b.ReportMetric(float64(links)/float64(nodes), "links/node")
			assert.Assert(b, x.allAlive())
		})
	}
}
