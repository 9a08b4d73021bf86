package entrynode

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gateway"
)

type endpointID = domain.EndpointID

// errDrained ends the run group once the node has drained or its grace period is over.
var errDrained = errors.New("entrynode: drained")

// serveCallers serves callers until the context ends, then drains the node. From then on the node is not ready and asks
// callers to close their connections. It accepts new connections until the balancer has taken it out, and then finishes
// the requests in progress. Those that are left at the end of the grace period get their final response: one that is queued
// is told that it has not run.
func (n *Node) serveCallers(ctx context.Context, listener *callerListener) error {
	failed := make(chan error, 1)
	go func() { failed <- n.callerServer.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return n.drain(listener)
}

func (n *Node) drain(listener *callerListener) error {
	start := time.Now()
	n.draining.Store(true)
	n.log.Info().Int("active", n.gateway.Active()).Msg("leaving: no longer ready")
	listener.draining.Store(true)
	n.callerServer.SetKeepAlivesEnabled(false)
	time.Sleep(drainNoticePeriod)
	remaining := seconds(n.settings.Shutdown.GraceS) - graceMargin - time.Since(start)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	if err := n.awaitRequests(ctx, listener); err != nil {
		n.log.Warn().Err(err).Int("active", n.gateway.Active()).Msg("leaving: requests are given up")
		n.giveUpRequests(listener)
	}
	return errDrained
}

// awaitRequests waits until the requests in progress are answered and their connections closed, or the context ends.
func (n *Node) awaitRequests(ctx context.Context, listener *callerListener) error {
	return errors.Join(n.callerServer.Shutdown(ctx), listener.awaitDeferredCloses(ctx))
}

// giveUpRequests ends the requests in progress and waits for their final responses to be written.
func (n *Node) giveUpRequests(listener *callerListener) {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	n.stopRequests(gateway.ErrStopped)
	if err := n.awaitRequests(ctx, listener); err != nil {
		n.log.Warn().Err(err).Int("active", n.gateway.Active()).Msg("leaving: requests are cut off")
	}
}
