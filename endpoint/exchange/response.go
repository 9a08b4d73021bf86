package exchange

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/httpresponse"
)

// Response is the response of an endpoint whose head has been read.
type Response struct {
	*http.Response

	client        *Client
	conn          *conn
	endpoint      domain.EndpointID
	stopAfterFunc func() bool
	// beforeBody is true if the receiver responded without asking for the request's body.
	beforeBody bool
	// complete is true once the body has been read to its end.
	complete bool
}

// Read reads the body. It returns io.EOF only at the end that the body's framing defines; if the
// body is cut short or followed by malformed fields, the error wraps endpoint.ErrBroken.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(httpresponse.CheckTrailer(r.Trailer), err)
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	default:
		return n, fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
}

// Close returns the connection to the pool if it is reusable. Otherwise it closes the connection,
// which tells the endpoint to stop.
func (r *Response) Close() {
	contextActive := r.stopAfterFunc()
	idle := r.idleTimeout()
	if contextActive && r.complete && !r.beforeBody && idle > 0 && r.conn.reader.Buffered() == 0 {
		r.client.putIdle(r.endpoint, r.conn, idle)
		return
	}
	r.conn.close()
}

// idleTimeout returns how long the connection may be idle, or zero if it must not be reused.
func (r *Response) idleTimeout() time.Duration {
	if closesConnection(r.Response) {
		return 0
	}
	announced, ok := announcedIdleTimeout(r.Header.Values("Keep-Alive"))
	if !ok {
		return defaultIdleTimeout
	}
	return announced - idleTimeoutMargin
}

// announcedIdleTimeout returns the shortest idle timeout of the values of Keep-Alive, zero if one is malformed; ok is false if
// there is none.
func announcedIdleTimeout(values []string) (shortest time.Duration, ok bool) {
	shortest = maxIdleTimeout
	for _, part := range strings.Split(strings.Join(values, ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0, true
		}
		ok = true
		shortest = min(shortest, time.Duration(min(seconds, int(maxIdleTimeout/time.Second)))*time.Second)
	}
	return shortest, ok
}

// closesConnection reports whether the connection can't be used after the response: the response
// says so, or its body is delimited only by the end of the connection.
func closesConnection(r *http.Response) bool {
	delimited := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return r.Close || !delimited
}

// maxDiscardBytes limits the body of a skipped response.
const maxDiscardBytes = 256 << 10

var errNotDiscardable = errors.New("exchange: stale response is too long or of unknown length")

// discard reads the body of a response to another request, so that the next response can be read.
func discard(response *http.Response) error {
	if closesConnection(response) {
		return errNotDiscardable
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes+1))
	switch {
	case err != nil:
		return err
	case n > maxDiscardBytes:
		return errNotDiscardable
	default:
		return httpresponse.CheckTrailer(response.Trailer)
	}
}
