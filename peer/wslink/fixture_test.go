package wslink

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/pki"
)

const (
	echoMethod peer.Method = "test.echo"
	holdMethod peer.Method = "test.hold"
)

// fixture is an in-memory network with transports that serve echoMethod and
// holdMethod.
type fixture struct {
	t         *testing.T
	net       *memNet
	authority *pki.Authority
	served    atomic.Int32
	// release is closed to end the calls to holdMethod.
	release chan struct{}
	log     lockedBuffer
}

// lockedBuffer is a buffer for concurrent use by several loggers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.b.Bytes(), []byte(text))
}

// inBubble runs f in a synctest bubble with a fixture.
func inBubble(t *testing.T, f func(t *testing.T, r *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		authority, err := pki.NewAuthority(time.Now())
		assert.NilError(t, err)
		// Runs as the last cleanup, to give rejected connections the time to close.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		f(t, &fixture{t: t, net: newMemNet(), authority: authority, release: make(chan struct{})})
	})
}

func memberOf(node domain.NodeID, incarnation domain.Incarnation) domain.Member {
	return domain.Member{Node: node, Incarnation: incarnation, DataCentre: "taf", Address: "127.0.0.1:" + port(node)}
}

func port(node domain.NodeID) string {
	return map[domain.NodeID]string{"a": "1", "b": "2", "c": "3"}[node]
}

// start runs a transport, with TLS unless change removes the credentials, until the
// test ends.
func (r *fixture) start(member domain.Member, change func(*Options)) *Transport {
	r.t.Helper()
	bundle, err := r.authority.Bundle(member.Node, time.Now())
	assert.NilError(r.t, err)
	options := Options{
		Self:        member,
		Credentials: pki.NewStatic(bundle),
		Dial:        r.net.dial,
		Logger:      zerolog.New(&r.log),
		Metrics:     metrics.NewSet(),
	}
	if change != nil {
		change(&options)
	}
	tr, err := New(options)
	assert.NilError(r.t, err)
	peer.Handle(tr, echoMethod, r.echo)
	tr.Handle(holdMethod, r.hold)
	r.serve(tr, r.net.listen(member.Address))
	return tr
}

// serve accepts links and closes the transport when the test ends.
func (r *fixture) serve(tr *Transport, listener net.Listener) {
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- tr.Serve(ctx, listener) }()
	r.t.Cleanup(func() {
		stop()
		assert.NilError(r.t, <-served)
		closeNow, cancel := context.WithCancel(context.Background())
		cancel()
		_ = tr.Close(closeNow)
	})
}

func (r *fixture) echo(_ context.Context, from domain.Member, text string) (string, error) {
	r.served.Add(1)
	if text == "fail" {
		return "", errors.New("requested failure")
	}
	return from.String() + " " + text, nil
}

func (r *fixture) hold(ctx context.Context, _ domain.Member, payload []byte) ([]byte, error) {
	r.served.Add(1)
	select {
	case <-r.release:
		return payload, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func echo(ctx context.Context, from *Transport, to domain.Member, text string) (string, error) {
	return peer.Call[string, string](ctx, from, to, echoMethod, text)
}

// startCall makes a call in the background and returns the channel for its error.
func startCall(from *Transport, to domain.Member, method peer.Method) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := from.Call(context.Background(), to, method, nil)
		done <- err
	}()
	return done
}
