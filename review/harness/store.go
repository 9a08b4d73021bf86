package harness

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a sound stand-in of the platform's store. It loses nothing, and leases do not expire in the time of a case.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"tombstone,omitempty"`
}

func newStore() *Store {
	return &Store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes the items.
func (s *Store) put(items ...item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		s.revision++
		i.Revision = s.revision
		s.items[i.Key] = i
		s.events = append(s.events, i)
	}
	s.broadcast()
}

// remove removes the items for which the function returns true.
func (s *Store) remove(matches func(item) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if matches(i) {
			s.revision++
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
		}
	}
	s.broadcast()
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == wire.Store.Range:
		s.serveRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == wire.Store.Watch:
		s.serveWatch(w, r)
	case path == wire.Store.Write:
		s.serveWrite(w, r)
	case path == wire.Store.Grant:
		s.serveGrant(w, r)
	case strings.HasPrefix(path, wire.Store.Renew):
		respond(w, map[string]any{})
	case strings.HasPrefix(path, wire.Store.End):
		lease, _ := strconv.ParseUint(strings.TrimPrefix(path, wire.Store.End), 10, 64)
		s.remove(func(i item) bool { return lease != 0 && i.Lease == lease })
		respond(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	respond(w, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			respond(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveWrite writes without conditions: nodes state none.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var write struct {
		Expected []item   `json:"expected_revision"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&write); err != nil || len(write.Expected) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.put(write.Puts...)
	s.remove(func(i item) bool { return slices.Contains(write.Remove, i.Key) })
	respond(w, map[string]any{"revision": s.revisionNow()})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var lease struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.mu.Unlock()
	respond(w, map[string]any{"lease": id, "ttl_ms": lease.TTL})
}

func (s *Store) revisionNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
