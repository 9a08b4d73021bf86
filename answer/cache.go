package answer

import (
	"container/list"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// DefaultRetention is how long a finished answer is held by default.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxCacheBytes is how much memory finished answers take by default.
	DefaultMaxCacheBytes = 64 << 20
)

// entryOverhead is the memory a finished answer costs besides its data, in bytes.
const entryOverhead = 512

// CacheOptions bounds a cache.
type CacheOptions struct {
	// Bytes is the most memory that finished answers may take.
	MaxBytes int
	// Retention is how long they are held at most.
	Retention time.Duration
	// OnEvict, if set, is called after an answer was dropped, without locks held.
	OnEvict func(key domain.RequestKey)
}

func (o CacheOptions) withDefaults() CacheOptions {
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxCacheBytes
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	return o
}

// Cache holds finished answers, the oldest dropped first when they are too many
// or too old. It is safe for concurrent use.
type Cache struct {
	options CacheOptions

	mu    sync.Mutex
	index map[domain.RequestKey]*list.Element
	order *list.List
	bytes int
}

type cacheEntry struct {
	key    domain.RequestKey
	answer *packed
	added  time.Time
}

// NewCache returns an empty cache.
func NewCache(options CacheOptions) *Cache {
	return &Cache{
		options: options.withDefaults(),
		index:   make(map[domain.RequestKey]*list.Element),
		order:   list.New(),
	}
}

// Add puts a finished answer into the cache, compressed. One that is no longer
// whole is not held.
func (c *Cache) Add(key domain.RequestKey, buffer *Buffer, now time.Time) {
	answer, err := pack(buffer)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.remove(key)
	c.index[key] = c.order.PushBack(&cacheEntry{key: key, answer: answer, added: now})
	c.bytes += answer.bytes()
	dropped := c.trim(now)
	c.mu.Unlock()
	c.report(dropped)
}

// Get returns a finished answer that is still held.
func (c *Cache) Get(key domain.RequestKey, now time.Time) (*Buffer, bool) {
	c.mu.Lock()
	dropped := c.trim(now)
	element, ok := c.index[key]
	c.mu.Unlock()
	c.report(dropped)
	if !ok {
		return nil, false
	}
	buffer, err := element.Value.(*cacheEntry).answer.open()
	return buffer, err == nil
}

// Expire drops what is too old.
func (c *Cache) Expire(now time.Time) {
	c.mu.Lock()
	dropped := c.trim(now)
	c.mu.Unlock()
	c.report(dropped)
}

// Size returns the number of answers held and the bytes they take.
func (c *Cache) Size() (answers, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len(), c.bytes
}

// trim drops the oldest until the bounds hold, and returns their keys.
func (c *Cache) trim(now time.Time) []domain.RequestKey {
	var dropped []domain.RequestKey
	for element := c.order.Front(); element != nil; element = c.order.Front() {
		entry := element.Value.(*cacheEntry)
		if c.bytes <= c.options.MaxBytes && now.Sub(entry.added) < c.options.Retention {
			break
		}
		c.remove(entry.key)
		dropped = append(dropped, entry.key)
	}
	return dropped
}

func (c *Cache) remove(key domain.RequestKey) {
	element, ok := c.index[key]
	if !ok {
		return
	}
	c.order.Remove(element)
	delete(c.index, key)
	c.bytes -= element.Value.(*cacheEntry).answer.bytes()
}

func (c *Cache) report(dropped []domain.RequestKey) {
	if c.options.OnEvict == nil {
		return
	}
	for _, key := range dropped {
		c.options.OnEvict(key)
	}
}
