package entrynode

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// acceptEstablished accepts the connections that a listening socket holds in its queue, without waiting. Closing the socket
// would reset them, although their callers may have sent requests. It returns none if the listener is not a kernel socket.
func acceptEstablished(l net.Listener) (conns []net.Conn) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) { // fails if the listener is closed
		for {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			if conn, err := connOf(accepted); err == nil {
				conns = append(conns, conn)
			}
		}
	})
	return conns
}

// connOf returns the connection of a socket, which it closes.
func connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	return net.FileConn(file)
}
