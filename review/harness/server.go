package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a sound server of a service: it reads each request to its end, runs it and answers it. Streams are those with a Model.
type Server struct {
	ID, Service string
	// WorkTime is the time that a plain request runs, EventInterval that between two events, Events the number of events of a stream.
	WorkTime, EventInterval time.Duration
	Events                  int

	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	runs     map[string]int
}

// Start starts the server on a loopback address and writes its entry to the store.
func (s *Server) Start(store *Store, zone string) error {
	var err error
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	s.runs = make(map[string]int)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(s.listener) }()
	value := fmt.Sprintf(wire.ServerEntry, s.Service, s.listener.Addr().String(), zone)
	store.put(item{Key: wire.Store.Servers + s.ID, Value: []byte(value)})
	return nil
}

// Close stops the server.
func (s *Server) Close() { _ = s.server.Close() }

// Runs returns how many times the server began to run the request.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.Fields.Request)
	w.Header().Set(wire.Fields.Request, id)
	if r.Header.Get(wire.Fields.ExpectedServer) != s.ID {
		w.Header().Set(wire.Fields.Server, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not arrive and is not run
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	w.Header().Set(wire.Fields.Signature, s.ID)
	switch {
	case r.Header.Get(wire.Fields.Model) != "":
		s.stream(w)
	default:
		time.Sleep(s.WorkTime)
		_, _ = fmt.Fprintf(w, "answer to %s", id)
	}
}

func (s *Server) stream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.Events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(s.EventInterval)
	}
}
