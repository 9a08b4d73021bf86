package entrynode

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/callers"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gateway"
	"hawthornrill.example/hawthornrill/pacing"
)

type endpointID = domain.EndpointID

// errDrained ends the run group once the node has drained or its grace period is over.
var errDrained = errors.New("entrynode: drained")

// serveCallers serves callers until the context ends, then drains the node. From then on the node is not ready and asks
// callers with each response to close their connections. Until the balancer has taken it out it accepts new connections and
// serves what comes. Then it finishes the requests in progress, refuses those that come on open connections, and closes each
// connection once it has not been used for a while; a request that crosses the close is told that it has not run. Requests that
// are left at the end of the grace period get their final response: one that is queued is told that it has not run.
func (n *Node) serveCallers(ctx context.Context, listener *callers.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- n.callerServer.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return n.drain(listener)
}

func (n *Node) drain(listener *callers.Listener) error {
	start := time.Now()
	n.draining.Store(true)
	n.log.Info().Int("active", n.gateway.Active()).Msg("leaving: no longer ready")
	n.origins.HandOver()
	time.Sleep(drainNoticePeriod)
	remaining := seconds(n.settings.Shutdown.GraceS) - graceMargin - time.Since(start)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	if err := listener.IgnoreNewConnections(); err != nil {
		n.log.Warn().Err(err).Msg("leaving: connections that are established in this moment may be reset")
	}
	if err := listener.StopAccepting(); err != nil {
		n.log.Warn().Err(err).Msg("leaving: the listener for callers can't be closed")
	}
	// What was sent before the listener was closed is still served.
	pacing.Sleep(ctx, callers.UnusedBeforeClose)
	n.gateway.RefuseRequests()
	if err := listener.CloseConnections(ctx, callers.UnusedBeforeClose); err != nil {
		n.log.Warn().Err(err).Int("active", n.gateway.Active()).Msg("leaving: requests are given up")
		n.giveUpRequests(listener)
		return errDrained
	}
	if err := n.peerServer.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Int("active", n.gateway.Active()).Msg("leaving: requests of other nodes are given up")
		n.giveUpRequests(listener)
		return errDrained
	}
	return errors.Join(errDrained, listener.Shutdown(ctx, n.callerServer))
}

// serveCaller asks the caller to close its connection if the node drains, and passes the request on.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	n.gateway.ServeHTTP(w, r)
}

// giveUpRequests ends the requests in progress and waits for their final responses to be written. Callers of requests that a
// starved process has not read by then are told that they have not run.
func (n *Node) giveUpRequests(listener *callers.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	n.gateway.StopDispatching()
	n.stopRequests(gateway.ErrStopped)
	if bodies := listener.EndBodies(); bodies > 0 {
		n.log.Warn().Int("bodies", bodies).Msg("leaving: requests that have not arrived are refused")
	}
	if err := listener.CloseConnections(ctx, 0); err != nil {
		unread := listener.EndUnread()
		n.log.Warn().Err(err).Int("active", n.gateway.Active()).Int("unread", unread).Msg("leaving: requests are cut off")
	}
}
