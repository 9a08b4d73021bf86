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

// callBufferBytes is the size of the start of a service call's body that is
// buffered and covered by the fingerprint. The remainder is streamed.
const callBufferBytes = 256 << 10

var errCallTooLarge = errors.New("entry: body of service call exceeds the size limit")

// callBody is the body of a service call.
type callBody struct {
	// reader reads the complete body. It can be read only once.
	reader io.Reader
	// length is -1 if unknown.
	length int64
	// buffered is the start of the body, and all of it if streamed is false.
	buffered []byte
	streamed bool
}

// openCallBody buffers the start of the body. The rest of a body that does not fit
// into the buffer is read while the call is being sent. The buffer is accounted for
// until release is called.
func (s *Server) openCallBody(c echo.Context) (body callBody, release func(), err error) {
	r := c.Request()
	if r.ContentLength > s.options.MaxServiceBodyBytes {
		return callBody{}, nil, bodyTooLargeProblem(s.options.MaxServiceBodyBytes)
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return callBody{reader: http.NoBody}, func() {}, nil
	}
	if !s.bodies.reserve(callBufferBytes) {
		return callBody{}, nil, s.memoryProblem()
	}
	release = func() { s.bodies.release(callBufferBytes) }
	buffered, err := io.ReadAll(io.LimitReader(r.Body, callBufferBytes))
	if err != nil {
		release()
		return callBody{}, nil, problemFromBodyError(err, s.options.MaxServiceBodyBytes)
	}
	body = callBody{reader: bytes.NewReader(buffered), length: int64(len(buffered)), buffered: buffered}
	if len(buffered) < callBufferBytes {
		return body, release, nil
	}
	// The response may be written while the body is still being received.
	_ = http.NewResponseController(c.Response()).EnableFullDuplex()
	rest := &boundedReader{reader: r.Body}
	rest.remaining.Store(s.options.MaxServiceBodyBytes - callBufferBytes)
	body.reader = io.MultiReader(body.reader, rest)
	body.length = r.ContentLength
	body.streamed = true
	return body, release, nil
}

// fingerprintInput returns the buffered start of the body, preceded by the length
// if the rest is streamed.
func (b callBody) fingerprintInput() []byte {
	if !b.streamed {
		return b.buffered
	}
	return append(strconv.AppendInt(nil, b.length, 10), b.buffered...)
}

// boundedReader limits the size of a body without a declared length.
type boundedReader struct {
	reader    io.Reader
	remaining atomic.Int64
}

// Read implements io.Reader. It returns errCallTooLarge once the limit is exceeded.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.remaining.Add(-int64(n)) < 0 {
		return 0, errCallTooLarge
	}
	return n, err
}
