package answer

import (
	"container/list"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// DefaultRetention is the default retention period of finished answers.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxCacheBytes is the default limit on the memory of finished answers.
	DefaultMaxCacheBytes = 64 << 20
)

// entryOverheadBytes is the memory that a cached answer takes in addition to its data.
const entryOverheadBytes = 512

// CacheOptions configures a Cache. Zero values mean defaults.
type CacheOptions struct {
	// MaxBytes limits the memory of the cached answers.
	MaxBytes int
	// Retention is the maximum age of a cached answer.
	Retention time.Duration
	// OnEvict, if set, is called after an answer has been evicted, without locks held.
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

// Cache holds finished answers. The oldest are evicted first when the cache exceeds its size limit
// or they exceed the retention period. It is safe for concurrent use.
type Cache struct {
	options CacheOptions

	mu    sync.Mutex
	index map[domain.RequestKey]*list.Element
	order *list.List
	bytes int
}

type cacheEntry struct {
	key    domain.RequestKey
	answer *compressedAnswer
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

// Add compresses a finished answer and caches it. A truncated answer is not cached.
func (c *Cache) Add(key domain.RequestKey, buffer *Buffer, now time.Time) {
	answer, err := compress(buffer)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.remove(key)
	c.index[key] = c.order.PushBack(&cacheEntry{key: key, answer: answer, added: now})
	c.bytes += answer.bytes()
	evicted := c.evict(now)
	c.mu.Unlock()
	c.notifyEvicted(evicted)
}

// Get returns a cached answer.
func (c *Cache) Get(key domain.RequestKey, now time.Time) (*Buffer, bool) {
	c.mu.Lock()
	evicted := c.evict(now)
	element, ok := c.index[key]
	c.mu.Unlock()
	c.notifyEvicted(evicted)
	if !ok {
		return nil, false
	}
	buffer, err := element.Value.(*cacheEntry).answer.open()
	return buffer, err == nil
}

// Expire evicts the answers that have exceeded the retention period.
func (c *Cache) Expire(now time.Time) {
	c.mu.Lock()
	evicted := c.evict(now)
	c.mu.Unlock()
	c.notifyEvicted(evicted)
}

// Size returns the number of cached answers and their size in bytes.
func (c *Cache) Size() (answers, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len(), c.bytes
}

// evict removes the oldest entries until the limits hold, and returns their keys.
func (c *Cache) evict(now time.Time) []domain.RequestKey {
	var evicted []domain.RequestKey
	for element := c.order.Front(); element != nil; element = c.order.Front() {
		entry := element.Value.(*cacheEntry)
		if c.bytes <= c.options.MaxBytes && now.Sub(entry.added) < c.options.Retention {
			break
		}
		c.remove(entry.key)
		evicted = append(evicted, entry.key)
	}
	return evicted
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

func (c *Cache) notifyEvicted(evicted []domain.RequestKey) {
	if c.options.OnEvict == nil {
		return
	}
	for _, key := range evicted {
		c.options.OnEvict(key)
	}
}
