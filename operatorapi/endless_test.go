package operatorapi

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against a reply without end being kept until it exhausts the memory.
func TestEndlessReplyIsNoResponse(t *testing.T) {
	written := make(chan int, 1)
	s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
		text, n := "HTTP/1.1 200 OK\r\n\r\n", 0
		for n < 4*maxReplyBytes {
			sent, err := io.WriteString(connection, text)
			n += sent
			if err != nil {
				break
			}
			text = strings.Repeat(" ", 1<<20)
		}
		_ = connection.Close()
		written <- n
	})
	c := NewClient([]string{"http://" + s.Address}, "key")
	_, err := c.Edit(t.Context(), EditRequest{})
	assert.ErrorIs(t, err, ErrNoResponse)
	select {
	case n := <-written:
		assert.Assert(t, n < 2*maxReplyBytes, "%d bytes were read", n)
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open")
	}
}
