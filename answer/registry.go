package answer

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Registry finds the answers that this node holds: those being produced, and
// the finished ones of the cache. It is safe for concurrent use.
type Registry struct {
	cache *Cache

	mu   sync.RWMutex
	open map[domain.RequestKey]*Buffer
}

// NewRegistry returns a registry without answers.
func NewRegistry(cache *Cache) *Registry {
	return &Registry{cache: cache, open: make(map[domain.RequestKey]*Buffer)}
}

// Open makes a buffer known under the key while its answer is produced.
func (r *Registry) Open(key domain.RequestKey, buffer *Buffer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[key] = buffer
}

// Finish moves an answer that has ended to the cache.
func (r *Registry) Finish(key domain.RequestKey, buffer *Buffer) {
	r.cache.Add(key, buffer, time.Now())
	r.Remove(key, buffer)
}

// Forget removes a buffer that is not worth keeping: its request was not run.
func (r *Registry) Remove(key domain.RequestKey, buffer *Buffer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[key] == buffer {
		delete(r.open, key)
	}
}

// Get returns the answer under the key.
func (r *Registry) Get(key domain.RequestKey) (*Buffer, bool) {
	r.mu.RLock()
	buffer, ok := r.open[key]
	r.mu.RUnlock()
	if ok {
		return buffer, true
	}
	return r.cache.Get(key, time.Now())
}

// Expire drops finished answers that are too old.
func (r *Registry) Expire() { r.cache.Expire(time.Now()) }

// RegistrySize is how much a registry holds.
type RegistrySize struct {
	Open          int `json:"open"`
	OpenBytes     int `json:"open_bytes"`
	Finished      int `json:"finished"`
	FinishedBytes int `json:"finished_bytes"`
}

// Size returns what is held now.
func (r *Registry) Size() RegistrySize {
	r.mu.RLock()
	size := RegistrySize{Open: len(r.open)}
	for _, buffer := range r.open {
		size.OpenBytes += buffer.Bytes()
	}
	r.mu.RUnlock()
	size.Finished, size.FinishedBytes = r.cache.Size()
	return size
}
