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

// probeInterval is the time without data after which a keep-alive probe is sent, and between two probes. The kernel takes whole
// seconds; it rounds up.
const probeInterval = time.Second

// New returns a dialer. The timeout limits connection establishment. A connection fails once sent data has been
// unacknowledged for ackTimeout, or once nothing has come from the peer for SilenceLimit(ackTimeout).
func New(timeout, ackTimeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: -1},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, ackTimeout) },
	}}
}

// SilenceLimit is how long nothing may come from the peer over a connection of a dialer with the ackTimeout. TCP_USER_TIMEOUT
// replaces the count of probes: the connection fails at the first probe that is due when one has been sent and the peer has been
// silent for ackTimeout.
func SilenceLimit(ackTimeout time.Duration) time.Duration {
	probes := (ackTimeout + probeInterval - 1) / probeInterval
	return max(probes, 2) * probeInterval
}

func setUserTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
