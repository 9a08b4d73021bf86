package ledger

import (
	"bytes"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// book holds a node's records. It does no I/O and has no clock of its own. It is
// not safe for concurrent use.
type book struct {
	start     time.Time
	records   map[KeyHash]record
	members   *memberNames
	endpoints *endpointNames
	// ended lists keys in the order in which their records ended.
	ended     endedQueue
	retention time.Duration
}

func newBook(now time.Time, retention time.Duration) *book {
	return &book{
		start:     now,
		records:   make(map[KeyHash]record),
		members:   newNames[domain.Member](),
		endpoints: newNames[domain.EndpointID](),
		retention: retention,
	}
}

func (b *book) clock(now time.Time) int64 { return int64(now.Sub(b.start)) }

// get returns the key's record.
func (b *book) get(key KeyHash) (record, bool) {
	r, ok := b.records[key]
	return r, ok
}

// put stores the record and, if it has ended, sees that it will be dropped.
func (b *book) put(key KeyHash, r record) {
	b.records[key] = r
	if r.state.ended() {
		b.ended.push(endedKey{key, r.since})
	}
}

// set stores the record in a new state that begins now, and returns it.
func (b *book) set(key KeyHash, r record, state State, now time.Time) record {
	r.state = state
	r.since = b.clock(now)
	b.put(key, r)
	return r
}

// drop forgets the key.
func (b *book) drop(key KeyHash) { delete(b.records, key) }

// expire drops records that ended longer than the retention ago.
func (b *book) expire(now time.Time) {
	limit := b.clock(now) - int64(b.retention)
	for {
		oldest, ok := b.ended.peek()
		if !ok || oldest.since > limit {
			return
		}
		b.ended.pop()
		if r, ok := b.records[oldest.key]; ok && r.state.ended() && r.since <= limit {
			delete(b.records, oldest.key)
		}
	}
}

// export spells a record out.
func (b *book) export(key KeyHash, r record, now time.Time) entry {
	return entry{
		Key:         key,
		Fingerprint: r.fingerprint,
		Claim:       r.claim,
		Attempt:     r.attempt,
		State:       r.state,
		Flags:       r.flags & durableFlags,
		Holder:      b.members.value(r.holder),
		Endpoint:    b.endpoints.value(r.endpoint),
		Age:         time.Duration(b.clock(now) - r.since),
	}
}

// merge takes an entry in if it tells more than the record here. It reports
// whether the record here is now that of the entry.
func (b *book) merge(e entry, now time.Time) bool {
	r, ok := b.records[e.Key]
	if ok && !e.newer(r.claim, r.state) {
		return r.claim == e.Claim && r.state == e.State
	}
	var witness uint32
	if ok && r.claim == e.Claim {
		witness = r.witness
	}
	b.put(e.Key, record{
		fingerprint: e.Fingerprint,
		claim:       e.Claim,
		attempt:     e.Attempt,
		since:       b.clock(now) - int64(e.Age),
		holder:      b.members.number(e.Holder),
		witness:     witness,
		endpoint:    b.endpoints.number(e.Endpoint),
		state:       e.State,
		flags:       e.Flags & durableFlags,
	})
	return true
}

// keys returns the keys whose records match, in ascending order.
func (b *book) keys(match func(KeyHash, record) bool) []KeyHash {
	var keys []KeyHash
	for key, r := range b.records {
		if match(key, r) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y KeyHash) int { return bytes.Compare(x[:], y[:]) })
	return keys
}

// dropWhere forgets the records that match.
func (b *book) dropWhere(match func(KeyHash, record) bool) {
	for key, r := range b.records {
		if match(key, r) {
			delete(b.records, key)
		}
	}
}
