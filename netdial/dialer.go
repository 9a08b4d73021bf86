// Package netdial makes dialers whose connections do not stay silent for good: a peer that has lost its power or is cut
// off resets nothing, and without a bound of its own the kernel waits for minutes. A Conn discards, when it is closed,
// what the other side has not acknowledged.
package netdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer is a net.Dialer whose connections are Conns.
type Dialer struct{ net.Dialer }

// DialContext connects to the address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (*Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return wrap(raw), nil
}

// probes is the number of keep-alive probes without an answer after which a connection is dead.
const probes = 2

// New returns a dialer. Timeout bounds the making of a connection. A connection is closed once sent bytes have not been
// acknowledged for silent, or the other side has answered no probe for about twice that.
func New(timeout, silent time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silent, Interval: silent, Count: probes},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, silent) },
	}}
}

func setUserTimeout(raw syscall.RawConn, silent time.Duration) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
	})
	return errors.Join(err, set)
}
