package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
)

// aliveTimeout limits the time to the first byte of a receiver that has been sent the head of a two-phase request.
const aliveTimeout = 400 * time.Millisecond

// errNoHandshake means that the receiver did not ask for the request's body in time.
var errNoHandshake = errors.New("exchange: the receiver did not ask for the body")

// handshake sends the head and waits until the receiver asks for the body, which it then sends. It returns the response if the
// receiver responds without asking. After an error the receiver does not have the whole body.
func (c *conn) handshake(r *Request) (early *http.Response, err error) {
	defer func() { _ = c.SetReadDeadline(time.Time{}) }() // fails only if the connection is closed
	until := time.Now().Add(r.Handshake)
	c.readLimit = httpresponse.MaxHeadBytes
	defer func() { c.readLimit = math.MaxInt64 }()
	if _, err := c.Conn.Write(r.encodeHead()); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(min(aliveTimeout, r.Handshake)); ; deadline = until {
		if err := c.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
		response, err := c.readAnyHead(r.Method)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%w: %w", errNoHandshake, err)
		case response.StatusCode == http.StatusContinue:
			if r.Committed != nil {
				r.Committed()
			}
			return nil, c.sendBody(r)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// sendBody sends the body as one chunk and its end. After an error the end has not been sent, as it is what is written last.
func (c *conn) sendBody(r *Request) error {
	var chunk bytes.Buffer
	if len(r.Body) > 0 {
		chunk.WriteString(strconv.FormatInt(int64(len(r.Body)), 16) + "\r\n")
		chunk.Write(r.Body)
		chunk.WriteString("\r\n")
	}
	chunk.WriteString("0\r\n\r\n")
	_, err := c.Conn.Write(chunk.Bytes())
	return err
}

// encodeHead returns the head of a two-phase request in wire format. A chunked body has an end that is sent by itself, also if
// it is empty.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	r.writeHead(&b)
	b.WriteString("Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
	return b.Bytes()
}
