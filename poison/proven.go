package poison

import (
	"sync"
	"sync/atomic"
	"time"
)

// provenParts holds the parts on which answers have got far. It is bounded: the older half of the parts goes when it is full. Reads of parts
// that were added lately take no lock.
type provenParts struct {
	recent, older atomic.Pointer[sync.Map]
	mu            sync.Mutex
	count         int
	rotatedAt     time.Time
}

// add records that an answer got far on the parts.
func (p *provenParts) add(now time.Time, scope uint64, parts []uint64) {
	for _, part := range parts {
		if m := p.recent.Load(); m != nil {
			if _, known := m.Load(partKey{scope, part}); known {
				continue
			}
		}
		p.insert(now, partKey{scope, part})
	}
}

func (p *provenParts) insert(now time.Time, k partKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recent.Load() == nil || p.count >= maxProven/2 || now.Sub(p.rotatedAt) >= provenRetention/2 {
		p.older.Store(p.recent.Load())
		p.recent.Store(new(sync.Map))
		p.count, p.rotatedAt = 0, now
	}
	if _, known := p.recent.Load().LoadOrStore(k, struct{}{}); !known {
		p.count++
	}
}

// has reports whether an answer got far on the part lately.
func (p *provenParts) has(scope, part uint64) bool {
	for _, m := range []*sync.Map{p.recent.Load(), p.older.Load()} {
		if m == nil {
			continue
		}
		if _, known := m.Load(partKey{scope, part}); known {
			return true
		}
	}
	return false
}
