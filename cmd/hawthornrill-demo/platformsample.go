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
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// platformNodes is the number of entry nodes, requestsPerKind the number of requests of each kind.
	platformNodes   = 2
	requestsPerKind = 3
	// requestTimeout bounds each request, readyPollInterval is the interval between readiness checks of a node.
	requestTimeout    = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// sampleKey is the API key of the sample's organisation.
	sampleKey = "sample-key"
)

// sampleClient sends the requests of callers.
var sampleClient = httpresponse.NewClient()

// errPlatformSample means that the platform sample failed.
var errPlatformSample = errors.New("demo: platform sample failed")

// platformSample is a small deployment on a stand-in of the users' platform, all in this process: a store, endpoints and
// entry nodes.
type platformSample struct {
	out           io.Writer
	store         *platformtest.Store
	storeServer   *httptest.Server
	endpoints     []*platformtest.Endpoint
	nodeAddresses []string
	nodeResults   []chan error
}

// samplePlatform sends requests through entry nodes on a stand-in of the users' platform and checks that each ran once.
func samplePlatform(ctx context.Context, out io.Writer, log zerolog.Logger) error {
	running, stop := context.WithCancel(ctx)
	s := newPlatformSample(out)
	defer s.close()
	err := s.startNodes(running, log)
	if err == nil {
		err = s.serve(ctx)
	}
	stop()
	for _, result := range s.nodeResults {
		err = errors.Join(err, <-result)
	}
	return err
}

func newPlatformSample(out io.Writer) *platformSample {
	s := &platformSample{out: out, store: platformtest.NewStore()}
	s.storeServer = httptest.NewServer(s.store)
	s.store.Put("op/config", platformtest.Configuration(1, []platformtest.Route{
		{
			Name: "chat", Prefix: "/chat/", Kind: "stream", Service: "llm", MaxEndpoints: 2, Resumable: true,
			Timeout: requestTimeout, FirstByte: time.Second, EventGap: time.Second,
		},
		{
			Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "app", MaxEndpoints: 1,
			Timeout: requestTimeout, FirstByte: time.Second,
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
	s.storeServer.Close()
}

func (s *platformSample) startNodes(ctx context.Context, log zerolog.Logger) error {
	for i := range platformNodes {
		settings := s.settings(fmt.Sprintf("entry-%d", i))
		client := platform.NewClient(settings.Store, onesend.New(onesend.Options{}))
		node, err := entrynode.New(settings, entrynode.Adapters{Protocol: platform.HeaderCodec{}, Source: client, Registry: client}, log)
		if err != nil {
			return err
		}
		result := make(chan error, 1)
		go func() { result <- node.Run(ctx) }()
		s.nodeResults = append(s.nodeResults, result)
		s.nodeAddresses = append(s.nodeAddresses, settings.Listen.Callers)
		if err := waitReady(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, node *entrynode.Node) error {
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
		case <-time.After(readyPollInterval):
		}
	}
}

func (s *platformSample) settings(name string) entrynode.Settings {
	return entrynode.Settings{
		Node: domain.NodeID(name), DataCentre: "d", Store: s.storeServer.Listener.Addr().String(),
		Listen: entrynode.Listen{
			Callers: platformtest.FreeAddress(), Ready: platformtest.FreeAddress(), Peers: platformtest.FreeAddress(),
		},
		Retry:    entrynode.Retry{Ratio: 1, WindowS: 10, Slack: 10},
		Limit:    entrynode.Limit{WindowS: 8},
		Shutdown: entrynode.Shutdown{GraceS: 5},
	}
}

// serve sends requests of both kinds to the nodes in round-robin order.
func (s *platformSample) serve(ctx context.Context) error {
	paths := []string{"/chat/sample", "/book/sample"}
	requests := 0
	for range requestsPerKind {
		for _, path := range paths {
			id, address := fmt.Sprintf("sample-%d", requests), s.nodeAddresses[requests%len(s.nodeAddresses)]
			requests++
			if err := s.call(ctx, address, path, id); err != nil {
				return err
			}
			if runs := s.runs(id); runs != 1 {
				return fmt.Errorf("%w: request %s ran %d times", errPlatformSample, id, runs)
			}
		}
	}
	_, err := fmt.Fprintf(s.out, "on the platform: %d requests through %d nodes, each run once\n", requests, len(s.nodeAddresses))
	return err
}

func (s *platformSample) call(ctx context.Context, address, path, id string) error {
	streamed := strings.HasPrefix(path, "/chat/")
	request, err := platformtest.NewRequest("http://"+address+path, id, sampleKey, requestTimeout, streamed, strings.NewReader("hello"))
	if err != nil {
		return fmt.Errorf("%w: %w", errPlatformSample, err)
	}
	response, err := sampleClient.Do(request.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", errPlatformSample, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: request %s: status %d: %w", errPlatformSample, id, response.StatusCode, err)
	}
	_, err = fmt.Fprintf(s.out, "on the platform: %s %s through %s: %d bytes\n", id, path, address, len(body))
	return err
}

func (s *platformSample) runs(id string) int {
	n := 0
	for _, e := range s.endpoints {
		n += e.Runs(id)
	}
	return n
}
