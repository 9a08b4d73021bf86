package httpresponse

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that has been reset (linux/include/net/tcp_states.h). One that the peer has closed is in
// another state until this side closes it as well.
const tcpClose = 7

// WasReset reports whether a connection at whose end a read has arrived was reset. The kernel reports the error of a reset once: if a
// write got it, reads find an ordinary end. Connections that are no kernel sockets, such as those of TLS, mark their ends themselves.
func WasReset(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return !errors.Is(err, errors.ErrUnsupported)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return errors.Join(err, infoErr) != nil || info.State == tcpClose
}
