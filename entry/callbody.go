package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/labstack/echo/v4"
)

// heldCall is how much of a plain call's body is held and covered by the
// fingerprint; what is beyond streams through, in bytes.
const heldCall = 256 << 10

var errCallTooLarge = errors.New("entry: body of call too large")

// callBody is the body of a plain call.
type callBody struct {
	// reader gives the whole body, once.
	reader io.Reader
	// length is -1 if unknown.
	length int64
	// start is what is held, and the whole if streamed is false.
	start    []byte
	streamed bool
}

// openCallBody reads the start of the body. A body that fits is held; the rest of
// a longer one is read while the call is being sent.
func (s *Server) openCallBody(c echo.Context) (body callBody, release func(), err error) {
	r := c.Request()
	if r.ContentLength > s.options.MaxServiceBodyBytes {
		return callBody{}, nil, tooLarge(s.options.MaxServiceBodyBytes)
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return callBody{reader: http.NoBody}, func() {}, nil
	}
	if !s.bodies.take(heldCall) {
		return callBody{}, nil, s.full()
	}
	release = func() { s.bodies.give(heldCall) }
	start, err := io.ReadAll(io.LimitReader(r.Body, heldCall))
	if err != nil {
		release()
		return callBody{}, nil, bodyProblem(err, s.options.MaxServiceBodyBytes)
	}
	body = callBody{reader: bytes.NewReader(start), length: int64(len(start)), start: start}
	if len(start) < heldCall {
		return body, release, nil
	}
	// The caller may get the response while it still sends.
	_ = http.NewResponseController(c.Response()).EnableFullDuplex()
	rest := &boundedReader{reader: r.Body}
	rest.left.Store(s.options.MaxServiceBodyBytes - heldCall)
	body.reader = io.MultiReader(body.reader, rest)
	body.length = r.ContentLength
	body.streamed = true
	return body, release, nil
}

// describe is what the fingerprint covers of the body.
func (b callBody) describe() []byte {
	if !b.streamed {
		return b.start
	}
	return append(strconv.AppendInt(nil, b.length, 10), b.start...)
}

// boundedReader fails when a body without a length is longer than allowed.
type boundedReader struct {
	reader io.Reader
	left   atomic.Int64
}

// Read reads from the body, or returns errCallTooLarge.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.left.Add(-int64(n)) < 0 {
		return 0, errCallTooLarge
	}
	return n, err
}
