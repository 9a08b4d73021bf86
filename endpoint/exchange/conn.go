package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/netdial"
)

// conn is a connection to an endpoint.
type conn struct {
	*netdial.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	// limit is the number of bytes that may still be read.
	limit int64
	// closed is called once, when the connection is closed.
	closed func()
	once   sync.Once
}

// readBuffer is the size of a connection's buffer, enough for an answer's head and an event.
const readBuffer = 4 << 10

func newConn(raw *netdial.Conn, closed func()) *conn {
	c := &conn{Conn: raw, closed: closed}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

var errTooLong = errors.New("exchange: the head of the answer is too long")

// Read counts against the limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.limit <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p)
	c.limit -= int64(n)
	return n, err
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.Conn.Close() // nothing is written any more that could be lost
		c.closed()
	})
}

// quiet reports whether the idle connection is open and nothing has come in.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN //nolint:errorlint // a system call's own error
	})
	return err == nil && quiet
}

// write sends the whole request. Its error wraps endpoint.ErrNotDispatched if no byte was taken.
func (c *conn) write(r *Request) error {
	n, err := c.Conn.Write(r.bytes())
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	default:
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
}
