// Package netdial provides dialers whose connections detect an unresponsive peer: a peer that has lost power or is
// partitioned sends no reset, and with its default settings the kernel waits for minutes. When a Conn is closed, it
// discards the data that the peer has not acknowledged.
package netdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer is a net.Dialer that returns Conns.
type Dialer struct{ net.Dialer }

// DialContext connects to the address and wraps the connection in a Conn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (*Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return wrap(raw), nil
}

// keepAliveProbes is the number of unanswered keep-alive probes after which the connection fails.
const keepAliveProbes = 2

// New returns a dialer. The timeout limits connection establishment. A connection fails once sent data has been
// unacknowledged for ackTimeout, or the peer has answered no keep-alive probe for about twice that.
func New(timeout, ackTimeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: ackTimeout, Interval: ackTimeout, Count: keepAliveProbes},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, ackTimeout) },
	}}
}

func setUserTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
