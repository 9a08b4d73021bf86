package callers

import (
	"context"
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Listen listens without Multipath TCP, whose sockets take no packet filter.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// ignoreNewConnections makes the kernel drop requests for new connections to a listening socket, while those that are being
// established still are. It has no effect if the listener is not a kernel socket.
func ignoreNewConnections(l net.Listener) error {
	socket := socketOf(l)
	if socket == nil {
		return nil
	}
	program := dropInitialSegments()
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(controlErr, os.NewSyscallError("setsockopt", err))
}

// dropInitialSegments returns a packet filter that drops TCP segments with SYN and without ACK.
func dropInitialSegments() []unix.SockFilter {
	const (
		flagsOffset = 13
		syn, ack    = 0x02, 0x10
		wholePacket = 0xffffffff
	)
	return []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
	}
}

// acceptEstablished accepts the connections that a listening socket holds in its queue, without waiting. Closing the socket
// would reset them, although their callers may have sent requests. It returns none if the listener is not a kernel socket.
func acceptEstablished(l net.Listener) (conns []net.Conn) {
	socket := socketOf(l)
	if socket == nil {
		return nil
	}
	_ = socket.Control(func(fd uintptr) { // fails if the listener is closed
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
