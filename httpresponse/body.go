package httpresponse

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// body is the body of a response that states no length. Its end is checked; see roundTrip.checkEnd.
type body struct {
	io.ReadCloser
	roundTrip *roundTrip
	response  *http.Response
	// end is the error at the end of the body, nil before.
	end     error
	release sync.Once
}

// Read implements io.Reader. It returns io.EOF only if the response is complete.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.EOF
		if failure := b.roundTrip.checkEnd(b.response); failure != nil {
			err = failure
		}
	}
	if err != nil {
		b.end = err
		b.releaseConn()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.releaseConn()
	return b.ReadCloser.Close()
}

// releaseConn lets the next request on the connection proceed.
func (b *body) releaseConn() { b.release.Do(b.roundTrip.conn.Load().unchecked.Unlock) }
