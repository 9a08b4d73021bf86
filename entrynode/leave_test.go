package entrynode

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/gateway"
)

func TestLeavingNodeTakesConnectionsUntilTheBalancerHasNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{callers: &http.Server{}, gateway: &gateway.Gateway{}, log: zerolog.Nop()}
		n.settings.Shutdown.GraceS = 8
		began := time.Now()
		closed := make(chan time.Duration, 1)
		n.callers.RegisterOnShutdown(func() { closed <- time.Since(began) })
		left := make(chan error, 1)
		go func() { left <- n.leave(newCallerListener(nil, 0)) }()
		synctest.Wait()
		ready, _ := n.Ready()
		assert.Assert(t, !ready, "the balancer is told at once")
		assert.Assert(t, <-closed >= noticeTime)
		assert.ErrorIs(t, <-left, errLeft)
	})
}
