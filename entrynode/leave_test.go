package entrynode

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/callers"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gateway"
	"hawthornrill.example/hawthornrill/origin"
)

// closedListener is a listener without connections.
type closedListener struct{ net.Listener }

func (closedListener) Close() error { return nil }

func TestDrainingNodeAcceptsConnectionsDuringNoticePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{callerServer: &http.Server{}, peerServer: &http.Server{}, gateway: &gateway.Gateway{}, log: zerolog.Nop()}
		n.origins = origin.New(origin.Config{Members: func() []domain.Member { return nil }, Clock: boottime.Now, Log: zerolog.Nop(), Metrics: metrics.NewSet()})
		n.settings.Shutdown.GraceS = 8
		start := time.Now()
		closed := make(chan time.Duration, 1)
		n.callerServer.RegisterOnShutdown(func() { closed <- time.Since(start) })
		drained := make(chan error, 1)
		go func() { drained <- n.drain(callers.NewListener(closedListener{}, 0)) }()
		synctest.Wait()
		ready, _ := n.Ready()
		assert.Assert(t, !ready, "a draining node must not be ready")
		assert.Assert(t, <-closed >= drainNoticePeriod)
		assert.ErrorIs(t, <-drained, errDrained)
	})
}
