package answer

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Registry indexes the answers that this node holds: those in progress, and the finished ones in
// the cache. It is safe for concurrent use.
type Registry struct {
	cache *Cache

	mu   sync.RWMutex
	open map[domain.RequestKey]*Buffer
}

// NewRegistry returns an empty registry that moves finished answers to cache.
func NewRegistry(cache *Cache) *Registry {
	return &Registry{cache: cache, open: make(map[domain.RequestKey]*Buffer)}
}

// Open registers the buffer of an answer in progress.
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

// Remove unregisters a buffer that is not retained because its request was not run.
func (r *Registry) Remove(key domain.RequestKey, buffer *Buffer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[key] == buffer {
		delete(r.open, key)
	}
}

// Get returns the answer under the key, in progress or cached.
func (r *Registry) Get(key domain.RequestKey) (*Buffer, bool) {
	r.mu.RLock()
	buffer, ok := r.open[key]
	r.mu.RUnlock()
	if ok {
		return buffer, true
	}
	return r.cache.Get(key, time.Now())
}

// Expire evicts the finished answers that have exceeded the retention period.
func (r *Registry) Expire() { r.cache.Expire(time.Now()) }

// RegistrySize is the number and size of the answers in a registry.
type RegistrySize struct {
	Open          int `json:"open"`
	OpenBytes     int `json:"open_bytes"`
	Finished      int `json:"finished"`
	FinishedBytes int `json:"finished_bytes"`
}

// Size returns the current number and size of the answers.
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
