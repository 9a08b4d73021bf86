package entrynode

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

type endpointID = domain.EndpointID

// errLeft ends the group after a graceful end.
var errLeft = errors.New("entrynode: left")

// serveCallers serves until the context ends, then leaves: the node is not ready at once and asks callers to close
// their connections; new connections are taken until the balancer has noticed; then what is in progress is finished.
func (n *Node) serveCallers(ctx context.Context, listener *callerListener) error {
	failed := make(chan error, 1)
	go func() { failed <- n.callers.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return n.leave(listener)
}

func (n *Node) leave(listener *callerListener) error {
	began := time.Now()
	n.leaving.Store(true)
	n.log.Info().Int("active", n.gateway.Active()).Msg("leaving: no longer ready")
	listener.closing.Store(true)
	n.callers.SetKeepAlivesEnabled(false)
	time.Sleep(noticeTime)
	left := seconds(n.settings.Shutdown.GraceS) - graceMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	err := errors.Join(n.callers.Shutdown(ctx), listener.awaitSpared(ctx))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Warn().Err(err).Int("active", n.gateway.Active()).Msg("leaving: requests are cut off")
	}
	return errLeft
}
