package daemon

import (
	"errors"
	"fmt"
	"net"

	"hawthornrill.example/hawthornrill/callers"
	"hawthornrill.example/hawthornrill/settings"
)

// listeners holds the listening sockets of the process.
type listeners struct {
	callers, peers, operators net.Listener
}

// listen opens all sockets or, if one of them fails, none. If peers is not nil, it
// is used in place of a new socket.
func listen(s settings.Listen, peers net.Listener) (*listeners, error) {
	var l listeners
	var errs []error
	open := func(field, address string) net.Listener {
		listener, err := callers.Listen(address)
		if err != nil {
			errs = append(errs, fmt.Errorf("daemon: listen.%s = %q: %w", field, address, err))
		}
		return listener
	}
	l.callers = open("callers", s.Callers)
	if l.peers = peers; peers == nil {
		l.peers = open("peers", s.Peers)
	}
	l.operators = open("operators", s.Operators)
	if len(errs) > 0 {
		l.close()
		return nil, errors.Join(errs...)
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
