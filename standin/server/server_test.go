package server_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/standin/server"
)

func get(transport *onesend.Transport, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := transport.Send(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func TestUnavailableThenAvailable(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/wait") {
			entered <- struct{}{}
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	})
	s, err := server.Listen("127.0.0.1:0", handler)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(ctx) }()
	transport := onesend.New(onesend.Options{})
	waiting := make(chan error, 1)
	wait := func() { waiting <- get(transport, s.URL()+"/wait") }

	go wait()
	<-entered
	s.SetAvailable(false)
	assert.ErrorIs(t, <-waiting, endpoint.ErrBroken)
	assert.ErrorIs(t, get(transport, s.URL()), endpoint.ErrNotDispatched)
	s.SetAvailable(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := get(transport, s.URL()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})

	go wait()
	<-entered
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := get(transport, s.URL()); !errors.Is(err, endpoint.ErrNotDispatched) {
			return poll.Continue("still listening: %v", err)
		}
		return poll.Success()
	})
	close(release)
	assert.NilError(t, <-waiting)
	assert.NilError(t, <-stopped)
	assert.ErrorIs(t, get(transport, s.URL()), endpoint.ErrNotDispatched)
}
