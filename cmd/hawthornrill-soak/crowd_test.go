package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// Limits of the test configuration for what a caller may send, in bytes.
const (
	maxHeadBytes = 16384
	maxBodyBytes = 4 << 20
)

// clientForm is what clients send that stay connected afterwards, read nothing and close nothing.
type clientForm struct {
	name string
	// clients is the number of them that connect at once.
	clients int
	// send writes what the i-th client sends. It ends early if the node closes the connection.
	send func(w io.Writer, i int)
	// completes is true if one of the requests is complete.
	completes bool
}

// crowd holds the connections of clients that stay until leave is called.
type crowd struct {
	address string
	sending sync.WaitGroup

	mu    sync.Mutex
	left  bool
	conns []net.Conn
}

// join lets the clients of a form connect at once and send. Connections that the node refuses or closes are not replaced.
func (c *crowd) join(form clientForm) {
	for i := range form.clients {
		c.sending.Go(func() {
			conn, err := net.Dial("tcp4", c.address)
			if err != nil {
				return
			}
			if c.add(conn) {
				form.send(conn, i)
			}
		})
	}
}

// add reports false, and closes the connection, if the crowd has left.
func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// leave closes all connections and waits for the clients.
func (c *crowd) leave() {
	c.mu.Lock()
	c.left = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
}

// headOf returns a head of the i-th client, without the blank line that ends it.
func headOf(i int, fields ...string) string {
	return platformtest.RequestHead("/book/x", fmt.Sprint("crowd-", i), "k0", 20*time.Second, fields...)
}

// distinctLines returns header lines of 4 to 6 bytes with different names, up to the given size.
func distinctLines(size int) string {
	var b strings.Builder
	for i := 36; ; i++ {
		line := strconv.FormatInt(int64(i), 36) + ":\n"
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// equalLines returns the same header line over and over, up to the given size.
func equalLines(size int) string { return strings.Repeat("ab:\n", size/4) }

// shortOf100 is a body of 100 bytes less one.
var shortOf100 = strings.Repeat("x", 99)

// endless repeats a text until the connection is closed, or 1 MiB has been sent.
func endless(w io.Writer, text string) {
	block := strings.Repeat(text, 4096/len(text)+1)
	for sent := 0; sent < 1<<20; sent += len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// sendBody sends a body of maxBodyBytes less one byte in pieces with a pause after each.
func sendBody(w io.Writer, pieces int, pause time.Duration, write func(w io.Writer, piece []byte) error) {
	body := bytes.Repeat([]byte("x"), maxBodyBytes-1)
	for i := range pieces {
		if write(w, body[i*len(body)/pieces:(i+1)*len(body)/pieces]) != nil {
			return
		}
		time.Sleep(pause)
	}
}

func writePlain(w io.Writer, piece []byte) error {
	_, err := w.Write(piece)
	return err
}

func writeChunk(w io.Writer, piece []byte) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece)
	return err
}

// writeTexts writes texts one after the other until one fails.
func writeTexts(w io.Writer, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

const bodyPause = 60 * time.Millisecond

// clientForms are clients that send legal requests at great cost to the node, more than it allows, or nothing after a start.
var clientForms = []clientForm{
	{"distinct short lines and a body one byte short", 450, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100"), distinctLines(16000), "\r\n", shortOf100)
	}, false},
	{"one short line repeated and a body one byte short", 850, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100"), equalLines(16000), "\r\n", shortOf100)
	}, false},
	{"a head of distinct short lines without an end", 450, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100"), distinctLines(16000))
	}, false},
	{"a head of 60,000 bytes of short lines and a body one byte short", 150, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100"), distinctLines(60000), "\r\n", shortOf100)
	}, false},
	{"a head of 67,000 bytes of short lines without an end", 150, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100"), distinctLines(67000))
	}, false},
	{"a field of very many prompt parts and a body one byte short", 450, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100", platformtest.PromptLine(strings.Repeat(",", 16000))), "\r\n", shortOf100)
	}, false},
	{"short lines after a complete request", 800, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 4")+"\r\nbody"+headOf(i)+distinctLines(3800))
	}, true},
	{"lines without an end", 100, func(w io.Writer, i int) { endless(w, headOf(i)) }, false},
	{"empty lines without an end", 100, func(w io.Writer, _ int) { endless(w, "\r\n") }, false},
	{"a body of 4 MiB one byte short", 40, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, fmt.Sprint("Content-Length: ", maxBodyBytes))+"\r\n")
		sendBody(w, 1, 0, writePlain)
	}, false},
	{"a body of 4 MiB in pieces, one byte short", 60, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, fmt.Sprint("Content-Length: ", maxBodyBytes))+"\r\n")
		sendBody(w, 10, bodyPause, writePlain)
	}, false},
	{"a body of 4 MiB in chunks, one byte short", 60, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Transfer-Encoding: chunked")+"\r\n")
		sendBody(w, 10, bodyPause, writeChunk)
	}, false},
	{"chunks of one byte", 60, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Transfer-Encoding: chunked")+"\r\n")
		endless(w, "1\r\nx\r\n")
	}, false},
	{"trailers of short lines without an end", 450, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Transfer-Encoding: chunked")+"\r\n1\r\nx\r\n0\r\n", distinctLines(4000))
	}, false},
	{"a small body one byte short, on more connections than there are", 1200, func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100")+"\r\n", shortOf100)
	}, false},
	{"connections without a byte, more than there are", 1200, func(io.Writer, int) {}, false},
	{"a head a byte at a time, on more connections than there are", 1200, func(w io.Writer, i int) {
		for _, b := range []byte(headOf(i)) {
			if writePlain(w, []byte{b}) != nil {
				return
			}
			time.Sleep(bodyPause)
		}
	}, false},
}
