package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/entrynode"
	"hawthornrill.example/hawthornrill/platform"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// platformNodes is the number of entry nodes of the sample, platformTurns the requests of each kind.
	platformNodes = 2
	platformTurns = 3
	// samplePatience bounds a request, readyEvery is how often it is asked whether a node takes requests.
	samplePatience = 10 * time.Second
	readyEvery     = 50 * time.Millisecond
	// sampleKey is the organisation's key.
	sampleKey = "sample-key"
)

// errPlatformSample means that the sample did not go as promised.
var errPlatformSample = errors.New("demo: the sample on the platform failed")

// platformSample is a small deployment on the users' platform: its store, endpoints and entry nodes, in this process.
type platformSample struct {
	out       io.Writer
	store     *platformtest.Store
	server    *httptest.Server
	endpoints []*platformtest.Endpoint
	addresses []string
	ended     []chan error
}

// samplePlatform serves some requests by the path of the users' platform, and checks that each ran once.
func samplePlatform(ctx context.Context, out io.Writer, log zerolog.Logger) error {
	running, stop := context.WithCancel(ctx)
	s := newPlatformSample(out)
	defer s.close()
	err := s.startNodes(running, log)
	if err == nil {
		err = s.serve(ctx)
	}
	stop()
	for _, ended := range s.ended {
		err = errors.Join(err, <-ended)
	}
	return err
}

func newPlatformSample(out io.Writer) *platformSample {
	s := &platformSample{out: out, store: platformtest.NewStore()}
	s.server = httptest.NewServer(s.store)
	s.store.Put("op/config", platformtest.Configuration(1, []platformtest.Route{
		{
			Name: "chat", Prefix: "/chat/", Kind: "stream", Service: "llm", MaxEndpoints: 2, Resumable: true,
			Timeout: samplePatience, FirstByte: time.Second, EventGap: time.Second,
		},
		{
			Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "app", MaxEndpoints: 1,
			Timeout: samplePatience, FirstByte: time.Second,
		},
	}, []string{sampleKey}))
	for _, name := range []string{"llm-0", "llm-1", "app-0"} {
		service, _, _ := strings.Cut(name, "-")
		e := platformtest.NewEndpoint(name, service, "d")
		e.Register(s.store, "ready")
		s.endpoints = append(s.endpoints, e)
	}
	return s
}

func (s *platformSample) close() {
	for _, e := range s.endpoints {
		e.Close()
	}
	s.server.Close()
}

func (s *platformSample) startNodes(ctx context.Context, log zerolog.Logger) error {
	for i := range platformNodes {
		settings := s.settings(fmt.Sprintf("entry-%d", i))
		client := platform.NewClient(settings.Store, onesend.New(onesend.Options{}))
		node, err := entrynode.New(settings, entrynode.Adapters{Protocol: platform.HeaderCodec{}, Source: client, Registry: client}, log)
		if err != nil {
			return err
		}
		ended := make(chan error, 1)
		go func() { ended <- node.Run(ctx) }()
		s.ended = append(s.ended, ended)
		s.addresses = append(s.addresses, settings.Listen.Callers)
		if err := awaitReady(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(ctx context.Context, node *entrynode.Node) error {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		ready, reason := node.Ready()
		if ready {
			return nil
		}
		select {
		case <-starting.Done():
			return fmt.Errorf("%w: node not ready: %s", errPlatformSample, reason)
		case <-time.After(readyEvery):
		}
	}
}

func (s *platformSample) settings(name string) entrynode.Settings {
	return entrynode.Settings{
		Node: domain.NodeID(name), DataCentre: "d", Store: s.server.Listener.Addr().String(),
		Listen: entrynode.Listen{
			Callers: platformtest.FreeAddress(), Ready: platformtest.FreeAddress(), Peers: platformtest.FreeAddress(),
		},
		Retry:  entrynode.Retry{Ratio: 1, WindowS: 10, Slack: 10},
		Limit:  entrynode.Limit{WindowS: 8},
		Notice: entrynode.Notice{GraceS: 5},
	}
}

// serve sends requests of both kinds to the nodes in turn.
func (s *platformSample) serve(ctx context.Context) error {
	paths := []string{"/chat/sample", "/book/sample"}
	requests := 0
	for range platformTurns {
		for _, path := range paths {
			id, address := fmt.Sprintf("sample-%d", requests), s.addresses[requests%len(s.addresses)]
			requests++
			if err := s.call(ctx, address, path, id); err != nil {
				return err
			}
			if runs := s.runs(id); runs != 1 {
				return fmt.Errorf("%w: request %s ran %d times", errPlatformSample, id, runs)
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "on the platform: %d requests through %d nodes, each run once\n", requests, len(s.addresses))
	return err
}

func (s *platformSample) call(ctx context.Context, address, path, id string) error {
	streamed := strings.HasPrefix(path, "/chat/")
	request, err := platformtest.NewRequest("http://"+address+path, id, sampleKey, samplePatience, streamed, strings.NewReader("hello"))
	if err != nil {
		return fmt.Errorf("%w: %w", errPlatformSample, err)
	}
	response, err := http.DefaultTransport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", errPlatformSample, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: request %s: status %d: %w", errPlatformSample, id, response.StatusCode, err)
	}
	_, err = fmt.Fprintf(s.out, "on the platform: %s %s by %s: %d bytes\n", id, path, address, len(body))
	return err
}

func (s *platformSample) runs(id string) int {
	n := 0
	for _, e := range s.endpoints {
		n += e.Runs(id)
	}
	return n
}
