package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// maxAddresses bounds the parsed addresses that are kept. Messages are answered to whoever sent them.
const maxAddresses = 4096

// UDP is a Transport over a UDP socket.
type UDP struct {
	conn *net.UDPConn

	mu        sync.Mutex
	addresses map[string]netip.AddrPort
}

// ListenUDP opens a socket at address, "IP:port".
func ListenUDP(address string) (*UDP, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("gossip: parse address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	return &UDP{conn: conn, addresses: make(map[string]netip.AddrPort)}, nil
}

// Send implements Transport.
func (u *UDP) Send(to string, datagram []byte) error {
	at, err := u.address(to)
	if err != nil {
		return err
	}
	_, err = u.conn.WriteToUDPAddrPort(datagram, at)
	return err
}

// Receive implements Transport.
func (u *UDP) Receive(buffer []byte) (int, string, error) {
	n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
	if errors.Is(err, net.ErrClosed) {
		err = fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return n, from.String(), err
}

// Close closes the socket, which ends Receive.
func (u *UDP) Close() error { return u.conn.Close() }

func (u *UDP) address(to string) (netip.AddrPort, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at, ok := u.addresses[to]; ok {
		return at, nil
	}
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return at, fmt.Errorf("gossip: parse address %q: %w", to, err)
	}
	if len(u.addresses) >= maxAddresses {
		clear(u.addresses)
	}
	u.addresses[to] = at
	return at, nil
}
