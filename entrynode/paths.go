package entrynode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"hawthornrill.example/hawthornrill/poison"
	"hawthornrill.example/hawthornrill/reach"
)

// dial opens a connection to the address within reach.ConnectTimeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: reach.ConnectTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// connect opens a connection to the address and closes it.
func connect(ctx context.Context, address string) error {
	conn, err := dial(ctx, address)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// probeTime is how long a connection that a probe has opened must stay open.
const probeTime = 50 * time.Millisecond

// probeEnded opens a connection to the address and returns an error that wraps poison.ErrEnded if it is refused or ended at once.
func probeEnded(ctx context.Context, address string) error {
	conn, err := dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", poison.ErrEnded, err)
	}
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(probeTime)) // fails only if the connection is closed
	_, err = conn.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", poison.ErrEnded, err)
	}
	return nil
}

// closeConnections closes the idle connections to the endpoints of a service that is lost. They may be dead.
func (n *Node) closeConnections(service string) {
	snapshot := n.directory.Current()
	n.endpointClient.PruneIdle(func(id endpointID) bool {
		e := snapshot.Endpoint(id)
		return e != nil && e.Service != service
	})
}
