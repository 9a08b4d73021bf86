package sizing

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/pki"
	"hawthornrill.example/hawthornrill/peer/wslink"
)

const echoMethod peer.Method = "sizing.echo"

// countingConn counts what is written to a socket.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// linkFixture is two transports on loopback sockets with mutual TLS.
type linkFixture struct {
	authority *pki.Authority
	written   atomic.Int64
}

func (f *linkFixture) start(b *testing.B, node domain.NodeID) *wslink.Transport {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	bundle, err := f.authority.Bundle(node, time.Now())
	assert.NilError(b, err)
	t, err := wslink.New(wslink.Options{
		Self:        domain.Member{Node: node, Incarnation: 1, DataCentre: "taf", Address: listener.Addr().String()},
		Credentials: pki.NewStatic(bundle),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return countingConn{conn, &f.written}, err
		},
	})
	assert.NilError(b, err)
	t.Handle(echoMethod, func(_ context.Context, _ domain.Member, payload []byte) ([]byte, error) { return payload, nil })
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- t.Serve(ctx, listener) }()
	b.Cleanup(func() {
		stop()
		assert.NilError(b, <-served)
		now, cancel := context.WithCancel(context.Background())
		cancel()
		_ = t.Close(now)
	})
	return t
}

// processorTime is what this process has used of all cores, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSlopeLinkMessage measures a message over a peer link with mutual TLS,
// by the payload: bytes on the socket, and the processor time of both ends
// together. A call and its reply are two messages; one call is under way at a
// time, as on a link at rest, so that nothing is batched.
func BenchmarkSlopeLinkMessage(b *testing.B) {
	for _, payload := range []int{16, 128, 512, 2048} {
		b.Run(fmt.Sprintf("payload=%d", payload), func(b *testing.B) {
			authority, err := pki.NewAuthority(time.Now())
			assert.NilError(b, err)
			f := &linkFixture{authority: authority}
			from, to := f.start(b, "a"), f.start(b, "b")
			data := make([]byte, payload)
			call := func() {
				_, err := from.Call(context.Background(), to.Self(), echoMethod, data)
				assert.NilError(b, err)
			}
			call()
			written, began := f.written.Load(), processorTime()
			for b.Loop() {
				call()
			}
			used := processorTime() - began
			b.ReportMetric(float64(f.written.Load()-written)/float64(b.N), "B/message")
			b.ReportMetric(float64(used.Nanoseconds())/float64(2*b.N), "cpu-ns/message")
		})
	}
}

// BenchmarkSlopeLinkOpening measures the processor time of opening links with
// mutual TLS, both ends together, by their number.
func BenchmarkSlopeLinkOpening(b *testing.B) {
	for _, links := range []int{8, 24, 48} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			var used time.Duration
			for b.Loop() {
				b.StopTimer()
				authority, err := pki.NewAuthority(time.Now())
				assert.NilError(b, err)
				f := &linkFixture{authority: authority}
				hub := f.start(b, "hub")
				var others []*wslink.Transport
				for i := range links {
					others = append(others, f.start(b, domain.NodeID(fmt.Sprintf("n%d", i))))
				}
				b.StartTimer()
				began := processorTime()
				for _, other := range others {
					_, err := hub.Call(context.Background(), other.Self(), echoMethod, []byte{1})
					assert.NilError(b, err)
				}
				used += processorTime() - began
			}
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/hub")
		})
	}
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
