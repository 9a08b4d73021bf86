package origin

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

const (
	// MaxRetention bounds the time for which an origin is kept.
	MaxRetention = 10 * time.Minute
	// maxRecords bounds the records of a node, at 270 bytes each.
	maxRecords = 1 << 15
	// maxOrganisationFraction is the part of maxRecords that one organisation may use: the ids of attempts are its callers'.
	maxOrganisationFraction = 0.25
)

// record is the origin of one attempt's stream.
type record struct {
	origin Origin
	// conflicting is true if the attempt has been reported with two origins: its id was used twice, or the endpoint's version was
	// mistaken.
	conflicting bool
	expires     boottime.Instant
	// endpoint is the endpoint's ID and began when its first event came, if this node forwarded that.
	endpoint domain.EndpointID
	began    boottime.Instant
}

// summary is what the records of one content have in common.
type summary struct {
	origin Origin
	// records counts them, others those that differ from origin.
	records, others int
}

// differs reports whether the record may have another origin.
func (s *summary) differs(r *record) bool { return r.conflicting || r.origin != s.origin }

// table holds the records. It is not safe for concurrent use.
type table struct {
	records map[Key]*record
	streams map[StreamKey]*summary
	// byOrganisation counts the records of each organisation.
	byOrganisation map[[organisationBytes]byte]int
	// expiring lists the keys by the second in which they expire; a key whose record has been extended is listed again.
	expiring map[int64][]Key
	swept    int64
	// names holds each Origin once.
	names map[Origin]Origin
}

func newTable() *table {
	return &table{
		records: make(map[Key]*record), streams: make(map[StreamKey]*summary), byOrganisation: make(map[[organisationBytes]byte]int),
		expiring: make(map[int64][]Key), names: make(map[Origin]Origin),
	}
}

// put records an attempt's origin until the instant, and reports whether there was room for it.
func (t *table) put(k Key, o Origin, expires boottime.Instant) (*record, bool) {
	r, ok := t.records[k]
	if !ok {
		org := k.Stream.organisation()
		if len(t.records) >= maxRecords || float64(t.byOrganisation[org]) >= maxOrganisationFraction*maxRecords {
			return nil, false
		}
		r = &record{origin: t.intern(o)}
		t.records[k] = r
		t.byOrganisation[org]++
		t.count(k.Stream, r)
	}
	if r.origin != o && !r.conflicting {
		s := t.streams[k.Stream]
		if !s.differs(r) {
			s.others++
		}
		r.conflicting = true
	}
	if expires > r.expires {
		r.expires = expires
		second := expirySecond(expires)
		t.expiring[second] = append(t.expiring[second], k)
	}
	return r, true
}

// maxNames bounds the origins that are held once; there are as many as versions of services.
const maxNames = 1000

func (t *table) intern(o Origin) Origin {
	if known, ok := t.names[o]; ok {
		return known
	}
	if len(t.names) >= maxNames {
		clear(t.names)
	}
	t.names[o] = o
	return o
}

func (t *table) count(k StreamKey, r *record) {
	s, ok := t.streams[k]
	if !ok {
		s = &summary{origin: r.origin}
		t.streams[k] = s
	}
	s.records++
	if s.differs(r) {
		s.others++
	}
}

// expirySecond is the second after the instant.
func expirySecond(at boottime.Instant) int64 { return int64(at)/int64(time.Second) + 1 }

// sweep drops the records that have expired.
func (t *table) sweep(now boottime.Instant) {
	second := int64(now) / int64(time.Second)
	if t.swept == 0 {
		t.swept = second - 1
	}
	for ; t.swept < second; t.swept++ {
		for _, k := range t.expiring[t.swept+1] {
			if r, ok := t.records[k]; ok && r.expires <= now {
				t.drop(k, r)
			}
		}
		delete(t.expiring, t.swept+1)
	}
}

func (t *table) drop(k Key, r *record) {
	delete(t.records, k)
	org := k.Stream.organisation()
	if t.byOrganisation[org]--; t.byOrganisation[org] <= 0 {
		delete(t.byOrganisation, org)
	}
	s := t.streams[k.Stream]
	s.records--
	if s.differs(r) {
		s.others--
	}
	if s.records <= 0 {
		delete(t.streams, k.Stream)
	}
}

// attempt returns the origins that are known of an attempt: none, one, or two if it is ambiguous.
func (t *table) attempt(k Key, now boottime.Instant) []Origin {
	r, ok := t.records[k]
	switch {
	case !ok || r.expires <= now:
		return nil
	case r.conflicting:
		return []Origin{r.origin, {}}
	default:
		return []Origin{r.origin}
	}
}

// stream returns the origins that are known of a content: none, one, or two if it is ambiguous.
func (t *table) stream(k StreamKey) []Origin {
	s, ok := t.streams[k]
	switch {
	case !ok:
		return nil
	case s.others > 0:
		return []Origin{s.origin, {}}
	default:
		return []Origin{s.origin}
	}
}
