package ledger

import (
	"bytes"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// recordSet holds a node's records. It does no I/O and reads no clock. It is not safe
// for concurrent use.
type recordSet struct {
	start     time.Time
	byKey     map[KeyHash]record
	members   *memberInterner
	endpoints *endpointInterner
	// ended lists keys in the order in which their records ended.
	ended     endedQueue
	retention time.Duration
}

func newRecordSet(now time.Time, retention time.Duration) *recordSet {
	return &recordSet{
		start:     now,
		byKey:     make(map[KeyHash]record),
		members:   newInterner[domain.Member](),
		endpoints: newInterner[domain.EndpointID](),
		retention: retention,
	}
}

func (s *recordSet) timestamp(now time.Time) int64 { return int64(now.Sub(s.start)) }

func (s *recordSet) get(key KeyHash) (record, bool) {
	r, ok := s.byKey[key]
	return r, ok
}

// put stores the record and, if it has ended, schedules its expiry.
func (s *recordSet) put(key KeyHash, r record) {
	s.byKey[key] = r
	if r.state.ended() {
		s.ended.push(endedKey{key, r.since})
	}
}

// set stores the record in a new state as of now, and returns it.
func (s *recordSet) set(key KeyHash, r record, state State, now time.Time) record {
	r.state = state
	r.since = s.timestamp(now)
	s.put(key, r)
	return r
}

func (s *recordSet) drop(key KeyHash) { delete(s.byKey, key) }

// expire deletes records that ended longer ago than the retention period.
func (s *recordSet) expire(now time.Time) {
	limit := s.timestamp(now) - int64(s.retention)
	for {
		oldest, ok := s.ended.peek()
		if !ok || oldest.since > limit {
			return
		}
		s.ended.pop()
		if r, ok := s.byKey[oldest.key]; ok && r.state.ended() && r.since <= limit {
			delete(s.byKey, oldest.key)
		}
	}
}

// toEntry returns the wire form of a record.
func (s *recordSet) toEntry(key KeyHash, r record, now time.Time) entry {
	return entry{
		Key:         key,
		Fingerprint: r.fingerprint,
		Claim:       r.claim,
		Attempt:     r.attempt,
		State:       r.state,
		Flags:       r.flags & replicatedFlags,
		Holder:      s.members.value(r.holder),
		Endpoint:    s.endpoints.value(r.endpoint),
		Age:         time.Duration(s.timestamp(now) - r.since),
	}
}

// merge stores an entry if it is newer than the local record. It reports whether the
// local record now has the entry's claim and state.
func (s *recordSet) merge(e entry, now time.Time) bool {
	r, ok := s.byKey[e.Key]
	if ok && !e.newer(r.claim, r.state) {
		return r.claim == e.Claim && r.state == e.State
	}
	var witness uint32
	if ok && r.claim == e.Claim {
		witness = r.witness
	}
	s.put(e.Key, record{
		fingerprint: e.Fingerprint,
		claim:       e.Claim,
		attempt:     e.Attempt,
		since:       s.timestamp(now) - int64(e.Age),
		holder:      s.members.intern(e.Holder),
		witness:     witness,
		endpoint:    s.endpoints.intern(e.Endpoint),
		state:       e.State,
		flags:       e.Flags & replicatedFlags,
	})
	return true
}

// keys returns the keys whose records match, in ascending order.
func (s *recordSet) keys(match func(KeyHash, record) bool) []KeyHash {
	var keys []KeyHash
	for key, r := range s.byKey {
		if match(key, r) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y KeyHash) int { return bytes.Compare(x[:], y[:]) })
	return keys
}

// dropWhere deletes the records that match.
func (s *recordSet) dropWhere(match func(KeyHash, record) bool) {
	for key, r := range s.byKey {
		if match(key, r) {
			delete(s.byKey, key)
		}
	}
}
