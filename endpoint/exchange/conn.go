package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/netdial"
)

// conn is a connection to an endpoint.
type conn struct {
	*netdial.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	// readLimit is the number of bytes that may still be read.
	readLimit int64
	// head checks the head that is being read, if headExpected.
	head         httpresponse.Head
	headExpected bool
	// onClose is called once, when the connection is closed.
	onClose   func()
	closeOnce sync.Once
}

// readBufferBytes is the size of a connection's read buffer, enough for a response's head and an
// event.
const readBufferBytes = 4 << 10

func newConn(raw *netdial.Conn, onClose func()) *conn {
	c := &conn{Conn: raw, onClose: onClose}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

var errHeaderTooLong = errors.New("exchange: response header too long")

// Read enforces readLimit and checks the head that is being read.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.Conn.Read(p)
	c.readLimit -= int64(n)
	if c.headExpected {
		if err := c.checkHead(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// checkHead checks the next bytes of the head, until it is complete.
func (c *conn) checkHead(p []byte) error {
	_, complete, err := c.head.Check(p)
	c.headExpected = !complete
	return err
}

// readHead reads the head of the next response, skipping interim responses. All of them together are limited to httpresponse.MaxHeadBytes: an
// endpoint may send interim responses without end.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.readLimit = httpresponse.MaxHeadBytes
	defer func() { c.readLimit = math.MaxInt64 }()
	for {
		response, err := c.readAnyHead(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// readAnyHead reads and checks the head of the next response, which may be an interim one.
func (c *conn) readAnyHead(method string) (*http.Response, error) {
	c.head.Reset()
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	if err := c.checkHead(buffered); err != nil {
		return nil, err
	}
	defer func() { c.headExpected = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close() // nothing more is written, so no data can be lost
		c.onClose()
	})
}

// reusable reports whether the idle connection is open and has received no data.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = e == unix.EAGAIN //nolint:errorlint // a bare errno, never wrapped
	})
	return err == nil && idle
}

// write sends the whole request. Its error wraps endpoint.ErrNotDispatched if not a single byte was
// written.
func (c *conn) write(r *Request) error {
	n, err := c.Conn.Write(r.encode())
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	default:
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
}
