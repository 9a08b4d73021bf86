package trial

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyRetention is how long the store keeps its events, as in the sheets of the small installations.
const historyRetention = 20 * time.Second

// item is a key of the store, or the event of its removal.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Tombstone      bool   `json:"tombstone,omitempty"`
	at             time.Time
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is a stand-in of the platform's store. It answers as a sound store does.
type Store struct {
	record *Record
	server *http.Server
	addr   string

	mu        sync.Mutex
	revision  uint64
	compacted uint64
	items     map[string]item
	events    []item
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
}

// NewStore starts a store on a free loopback port.
func NewStore(record *Record) (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		record: record, addr: listener.Addr().String(), revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease),
		changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

// Address is the store's address, "IP:port".
func (s *Store) Address() string { return s.addr }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a key without a lease, as the operator and the runners do, and returns when it was accepted.
func (s *Store) Put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // can't fail: only strings, numbers and lists of them
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item{Key: key, Value: data})
	return time.Now()
}

// Remove removes a key and returns when that was accepted.
func (s *Store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

func (s *Store) put(i item) {
	s.revision++
	i.Revision, i.CreateRevision, i.at = s.revision, s.revision, time.Now()
	if old, ok := s.items[i.Key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[i.Key] = i
	s.append(i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()})
}

// append adds an event, drops the old ones and wakes the watches.
func (s *Store) append(i item) {
	s.events = append(s.events, i)
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyRetention {
		s.compacted = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *Store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a lease and removes its keys.
func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == wire.RangePath:
		s.serveRange(w, r)
	case path == wire.WatchPath:
		s.serveWatch(w, r)
	case path == wire.WritePath:
		s.serveWrite(w, r)
	case path == "/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	page := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page = append(page, s.items[key])
	}
	writeJSON(w, map[string]any{"items": page, "has_more": more, "store_revision": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, compacted, changed := s.revision, s.compacted, s.changed
		s.mu.Unlock()
		switch {
		case after < compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is a write of several keys.
type transaction struct {
	Expected []item   `json:"expected_revision"`
	Puts     []item   `json:"puts"`
	Remove   []string `json:"remove"`
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Puts {
		if s.leases[i.Lease] == nil && i.Lease != 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Puts {
		s.put(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&asked) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(asked.TTL) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.lastLease, "ttl_ms": asked.TTL})
}

func (s *Store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	writeJSON(w, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.end(id)
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}
