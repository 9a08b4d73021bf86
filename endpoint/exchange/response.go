package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Response is an endpoint's answer; its head has been read.
type Response struct {
	*http.Response

	client   *Client
	conn     *conn
	endpoint domain.EndpointID
	stop     func() bool
	// ended is true once the body was read to its end.
	ended bool
}

// Read reads the body. It returns io.EOF only at the body's proper end; a body that breaks off returns an error that
// wraps endpoint.ErrBroken.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.ended = true
		return n, io.EOF
	default:
		return n, fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
}

// Close gives the connection back if it can be used again, and closes it otherwise, which tells the endpoint to stop.
func (a *Response) Close() {
	running := a.stop()
	idle := a.idle()
	if running && a.ended && idle > 0 && a.conn.reader.Buffered() == 0 {
		a.client.keep(a.endpoint, a.conn, idle)
		return
	}
	a.conn.close()
}

// idle returns how long the connection may be idle; zero if it must not be used again.
func (a *Response) idle() time.Duration {
	if lastOfItsConnection(a.Response) {
		return 0
	}
	for _, part := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdle
}

// lastOfItsConnection reports whether nothing can follow the answer: it says so, or only the connection's end marks the
// end of its body.
func lastOfItsConnection(r *http.Response) bool {
	marked := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return r.Close || !marked
}

// maxDiscard bounds the body of an answer that is skipped.
const maxDiscard = 256 << 10

var errUnmarkedEnd = errors.New("exchange: the end of an answer to another request is not marked")

// discard reads the body of an answer to another request, so that the next one can be read.
func discard(response *http.Response) error {
	if lastOfItsConnection(response) {
		return errUnmarkedEnd
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscard))
	if err == nil && n == maxDiscard {
		err = errUnmarkedEnd
	}
	return err
}
