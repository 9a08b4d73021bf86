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

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// linkFixture starts transports on loopback sockets with mutual TLS and counts the bytes
// that they write to connections they dialled.
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

// cpuTime returns the user and system CPU time of this process, on all cores.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSlopeLinkMessage measures a message on a peer link with mutual TLS for
// several payload sizes: the bytes on the socket and the CPU time of both ends together.
// A call and its reply are two messages. Only one call is in progress at a time, as on a
// mostly idle link, so that messages are not batched.
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
			written, cpuBefore := f.written.Load(), cpuTime()
			for b.Loop() {
				call()
			}
			used := cpuTime() - cpuBefore
			b.ReportMetric(float64(f.written.Load()-written)/float64(b.N), "B/message")
			b.ReportMetric(float64(used.Nanoseconds())/float64(2*b.N), "cpu-ns/message")
		})
	}
}

// BenchmarkSlopeLinkOpening measures the CPU time of opening links with mutual TLS, both
// ends together, for several numbers of links.
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
				cpuBefore := cpuTime()
				for _, other := range others {
					_, err := hub.Call(context.Background(), other.Self(), echoMethod, []byte{1})
					assert.NilError(b, err)
				}
				used += cpuTime() - cpuBefore
			}
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/hub")
		})
	}
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
