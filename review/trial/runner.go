package trial

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// HeartbeatInterval is the interval at which runners write to the store.
	HeartbeatInterval = 1200 * time.Millisecond
	// entryLife is the silence after which a runner's entry is removed.
	entryLife = 3 * HeartbeatInterval
	// slots is the number of requests that a runner processes at a time; queued is how many more it takes.
	slots, queued = 6, 24
	// idleTimeout is how long a runner keeps an idle channel; its answers state it.
	idleTimeout = 10 * time.Second
)

// Run is the start of work on a request by a runner.
type Run struct {
	Request, Runner, Tenant, Path string
	At                            time.Time
	Crashed                       bool
}

// Runner is a stand-in of a runner. It keeps its address when it starts again, each time under a new id.
type Runner struct {
	Service, Zone, Address string
	// WorkTime is how long a request takes.
	WorkTime time.Duration
	// Crashes reports whether a request ends the runner that runs it, after WorkTime; nil for none.
	Crashes func(r *http.Request, body []byte) bool
	// ResetsChannels makes a crash reset the runner's channels instead of closing them.
	ResetsChannels bool
	// DownTime is how long the runner is away after it has crashed.
	DownTime time.Duration
	// OnRun is called for each request that the runner begins to run.
	OnRun func(Run)

	store  *Store
	record *Record

	mu     sync.Mutex
	id     string
	server *http.Server
	conns  map[net.Conn]bool
	active int
	up     bool
	closed bool
}

// NewRunner returns a runner that is not started yet.
func NewRunner(record *Record, store *Store, service, zone string) *Runner {
	return &Runner{Service: service, Zone: zone, store: store, record: record, WorkTime: 30 * time.Millisecond, DownTime: 3 * time.Second}
}

// Start starts the runner under a new id and lists it.
func (r *Runner) Start() error {
	address := r.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return listener.Close()
	}
	r.Address = listener.Addr().String()
	r.id = fmt.Sprintf("i-%010x", rand.Uint64()>>24)
	r.up, r.active = true, 0
	id := r.id
	conns := make(map[net.Conn]bool)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(id, w, q) }), IdleTimeout: idleTimeout,
		ConnState: func(c net.Conn, state http.ConnState) { r.track(conns, c, state) },
	}
	r.server, r.conns = server, conns
	go func() { _ = server.Serve(listener) }()
	go r.beat(id)
	r.record.Line("runner %s of %s starts at %s", id, r.Service, r.Address)
	return nil
}

// ID is the id of the runner's present lifetime.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// Up reports whether the runner is up.
func (r *Runner) Up() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

// beat lists the lifetime until it ends, and removes its entry after the silence that the pages tell.
func (r *Runner) beat(id string) {
	for sequence := 1; ; sequence++ {
		r.mu.Lock()
		current := r.up && r.id == id
		r.mu.Unlock()
		if !current {
			break
		}
		if sequence == 1 {
			// The entry of a runner that lives changes only by its number.
			r.store.Put("servers/"+id, wire.entry(r.Service, r.Address, r.Zone))
		}
		time.Sleep(HeartbeatInterval)
	}
	time.Sleep(entryLife - HeartbeatInterval)
	r.store.Remove("servers/" + id)
	r.record.Line("entry of runner %s removed", id)
}

// track records which channels of a lifetime are open.
func (r *Runner) track(conns map[net.Conn]bool, c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(conns, c)
		return
	}
	conns[c] = true
}

// crash ends the lifetime at once: the listening socket and all channels are closed or reset, and nothing is answered.
func (r *Runner) crash(id string) {
	r.mu.Lock()
	if !r.up || r.id != id {
		r.mu.Unlock()
		return
	}
	r.up = false
	server := r.server
	if r.ResetsChannels {
		for c := range r.conns {
			_ = c.(*net.TCPConn).SetLinger(0) // fails only if it is closed
		}
	}
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(r.DownTime, func() {
		for r.Start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Close ends the runner for good.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.up = true, false
	if r.server != nil {
		_ = r.server.Close()
	}
}

func (r *Runner) serve(id string, w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	request := q.Header.Get("Request-Id")
	if request != "" {
		w.Header().Set("Request-Id", request)
	}
	if expected := q.Header.Get(wire.InstanceField); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if !r.begin(id) {
		w.Header().Set(wire.NotRunField, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end(id)
	run := Run{Request: request, Runner: id, Tenant: q.Header.Get("Tenant"), Path: q.URL.Path, At: time.Now()}
	run.Crashed = r.Crashes != nil && r.Crashes(q, body)
	if r.OnRun != nil {
		r.OnRun(run)
	}
	if run.Crashed {
		time.Sleep(r.WorkTime)
		r.crash(id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.WorkTime):
	case <-q.Context().Done():
		return
	}
	w.Header().Set(wire.SignatureField, id+"."+request)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, Answer(id, request)) // fails only if the node has gone
}

// Answer is the body of a runner's answer to a request.
func Answer(id, request string) string { return strings.Repeat(id+" "+request+"\n", 20) }

func (r *Runner) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.id != id || !r.up || r.active >= slots+queued {
		return false
	}
	r.active++
	return true
}

func (r *Runner) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.id == id {
		r.active--
	}
}
