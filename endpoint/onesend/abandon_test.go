package onesend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/netdial/netdialtest"
)

// Guards against a call that was abandoned while the link was cut reaching a store or an endpoint
// once the link is restored.
func TestCallGivenUpOnIsNotDeliveredLater(t *testing.T) {
	l := netdialtest.ListenSmallBuffer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := &lastRead{Reader: strings.NewReader(strings.Repeat("x", netdialtest.PayloadBytes)), end: cancel}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), body)
	assert.NilError(t, err)
	request.ContentLength = netdialtest.PayloadBytes
	_, err = onesend.New(onesend.Options{}).Send(request)
	assert.ErrorIs(t, err, endpoint.ErrBroken)

	c, err := l.Accept()
	assert.NilError(t, err)
	netdialtest.AssertDiscarded(t, c)
}

// lastRead calls end once everything has been read.
type lastRead struct {
	io.Reader
	end func()
}

func (r *lastRead) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.end()
	}
	return n, err
}

func (r *lastRead) Close() error { return nil }
