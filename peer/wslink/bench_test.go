package wslink

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer/pki"
)

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// benchFixture is a set of transports with TLS over TCP on loopback.
type benchFixture struct {
	authority      *pki.Authority
	sent, received atomic.Int64
}

func newBench(b *testing.B) *benchFixture {
	b.Helper()
	authority, err := pki.NewAuthority(time.Now())
	assert.NilError(b, err)
	return &benchFixture{authority: authority}
}

func (x *benchFixture) start(b *testing.B, node domain.NodeID) *Transport {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	bundle, err := x.authority.Bundle(node, time.Now())
	assert.NilError(b, err)
	tr, err := New(Options{
		Self:        domain.Member{Node: node, Incarnation: 1, DataCentre: "taf", Address: listener.Addr().String()},
		Credentials: pki.NewStatic(bundle),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialTCP(ctx, address)
			return countingConn{conn, &x.sent, &x.received}, err
		},
	})
	assert.NilError(b, err)
	tr.Handle(echoMethod, func(_ context.Context, _ domain.Member, payload []byte) ([]byte, error) { return payload, nil })
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- tr.Serve(ctx, listener) }()
	b.Cleanup(func() {
		stop()
		assert.NilError(b, <-served)
		closeNow, cancel := context.WithCancel(context.Background())
		cancel()
		_ = tr.Close(closeNow)
	})
	return tr
}

// BenchmarkCall measures the time of a call and its reply over TLS on loopback, and
// the bytes on the socket in addition to the payloads.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{16, 256, 4096, 65536} {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			x := newBench(b)
			from, to := x.start(b, "a"), x.start(b, "b")
			payload := make([]byte, size)
			call := func() {
				_, err := from.Call(context.Background(), to.Self(), echoMethod, payload)
				assert.NilError(b, err)
			}
			call()
			sent, received := x.sent.Load(), x.received.Load()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				call()
			}
			b.StopTimer()
			n := float64(b.N)
			b.ReportMetric(float64(x.sent.Load()-sent)/n-float64(size), "overhead-B/request")
			b.ReportMetric(float64(x.received.Load()-received)/n-float64(size), "overhead-B/reply")
		})
	}
}

// BenchmarkCallParallel measures calls that share one link.
func BenchmarkCallParallel(b *testing.B) {
	x := newBench(b)
	from, to := x.start(b, "a"), x.start(b, "b")
	payload := make([]byte, 256)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := from.Call(context.Background(), to.Self(), echoMethod, payload); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSlopeIdleLinks measures the memory of one end of an open, idle link, as half
// of that of both ends, and the bytes sent to open a link.
func BenchmarkSlopeIdleLinks(b *testing.B) {
	for _, links := range []int{7, 48, 200} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			for range b.N {
				x := newBench(b)
				hub := x.start(b, "hub")
				var others []*Transport
				for i := range links {
					others = append(others, x.start(b, domain.NodeID(fmt.Sprintf("n%d", i))))
				}
				before := memoryInUse()
				for _, other := range others {
					_, err := hub.Call(context.Background(), other.Self(), echoMethod, []byte{1})
					assert.NilError(b, err)
				}
				after := memoryInUse()
				b.ReportMetric(float64(after-before)/float64(2*links), "B/link-end")
				b.ReportMetric(float64(x.sent.Load()+x.received.Load())/float64(links), "opening-B/link")
				assert.Equal(b, len(hub.State().Links), links)
				runtime.KeepAlive(others)
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	// sync.Pool frees unused buffers only at the second collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
