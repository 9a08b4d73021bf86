package netdial

import "net"

// Listener is a net.Listener that wraps accepted connections in Conns.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrap(raw), nil
}
