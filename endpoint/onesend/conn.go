package onesend

import (
	"context"
	"net"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/netdial"
)

// conn counts the attempts to write, before they are made.
type conn struct {
	*netdial.Conn
	attempts atomic.Uint64
}

// Write counts first: once the connection is closed, an unchanged count proves
// that nothing was written.
func (c *conn) Write(p []byte) (int, error) {
	c.attempts.Add(1)
	return c.Conn.Write(p)
}

// dialer makes counting connections.
type dialer struct{ netdial.Dialer }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}
