package onesend

import (
	"context"
	"net"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/netdial"
)

// conn counts write attempts before they are made.
type conn struct {
	*netdial.Conn
	writeAttempts atomic.Uint64
}

// Write counts before it writes: once the connection is closed, an unchanged count proves that
// nothing was written.
func (c *conn) Write(p []byte) (int, error) {
	c.writeAttempts.Add(1)
	return c.Conn.Write(p)
}

// dialer opens connections that count write attempts.
type dialer struct{ netdial.Dialer }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}
