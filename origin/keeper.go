package origin

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// replicaCount is the number of nodes to which a record is reported, beside the one that makes it. In a fleet of seven nodes three
	// of them and the one that served the stream may be lost at once before a record is.
	replicaCount = 3
	// queryCount is the number of nodes that are queried. It exceeds replicaCount, since lists of nodes differ while nodes come and go;
	// in a small fleet it includes the node that served the stream.
	queryCount = 8
	// queryTimeout limits the wait for the replies, queryRetryInterval the wait before a query is repeated.
	queryTimeout       = 250 * time.Millisecond
	queryRetryInterval = 60 * time.Millisecond
	// settleTime is the wait for further replies once a node knows the origin, since another one may know of a different one.
	settleTime = 30 * time.Millisecond
	// tickInterval is the interval at which the list of nodes is read.
	tickInterval = 100 * time.Millisecond
	// repairFraction bounds the time that the reports after changes of the list of nodes take: finding the replicas of a thousand records
	// among a thousand nodes takes a quarter of a second.
	repairFraction = 0.02
	// staleEntryWindow is the time before the node sees that an endpoint's version has changed in which that endpoint may have been of
	// either version: its entry arrives late.
	staleEntryWindow = 10 * time.Second
	// maxRecordsPerMessage keeps datagrams below the usual MTU.
	maxRecordsPerMessage = 20
)

// Config is a Keeper's identity and dependencies.
type Config struct {
	Self domain.NodeID
	// Members returns the nodes that are heard and not leaving, in the order of their names; this one counts as one of them.
	Members func() []domain.Member
	// VersionChanges returns the IDs of the endpoints whose version has changed since the last call.
	VersionChanges func() []domain.EndpointID
	// AllHeard reports whether all nodes that may be alive are heard.
	AllHeard func() bool
	// Others returns the nodes that may be alive and are not among Members.
	Others func() []domain.Member
	// Send sends a message to the node at the address, "IP:port". It does not block; a message may be lost.
	Send func(address string, message []byte) error
	// Query sends a query over a connection to the node at the address and returns the reply of its Answer. Datagrams may be lost in
	// one direction while connections work.
	Query   func(ctx context.Context, address string, query []byte) ([]byte, error)
	Clock   boottime.Clock
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Keeper holds the origins of streams. It is safe for concurrent use.
type Keeper struct {
	config    Config
	started   boottime.Instant
	placement atomic.Pointer[placement]
	// reported is the list of nodes by which records were last reported; nextRepair is when they may be again. Both are Run's.
	reported   *placement
	nextRepair time.Time

	mu    sync.Mutex
	table *table
	// queries are the queries that wait for replies.
	queries   map[uint64]chan reply
	lastQuery uint64

	messages, bytes, malformed, dropped, repeated *metrics.Counter
}

// New returns a Keeper without records. Run keeps them at their replicas.
func New(config Config) *Keeper {
	k := &Keeper{
		config: config, started: config.Clock(), table: newTable(), queries: make(map[uint64]chan reply),
		messages:  config.Metrics.NewCounter("hawthornrill_origin_messages_sent_total"),
		bytes:     config.Metrics.NewCounter("hawthornrill_origin_bytes_sent_total"),
		malformed: config.Metrics.NewCounter("hawthornrill_origin_messages_malformed_total"),
		dropped:   config.Metrics.NewCounter("hawthornrill_origin_records_dropped_total"),
		repeated:  config.Metrics.NewCounter("hawthornrill_origin_records_repeated_total"),
	}
	k.reported = newPlacement(config.Members())
	k.placement.Store(k.reported)
	config.Metrics.NewGauge("hawthornrill_origin_records", func() float64 { return float64(k.Len()) })
	return k
}

// Len returns the number of records.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.table.records)
}

// Begin records that the first event of the attempt's stream came from the endpoint, and reports it to the nodes that will be queried
// for it. It must be called before the event is forwarded: the caller may be at another node right after. Nothing is recorded of an
// origin that is not known. The record is kept for the given time, MaxRetention at most.
func (k *Keeper) Begin(key Key, o Origin, endpoint domain.EndpointID, keepFor time.Duration) {
	if !o.Known() || !o.valid() {
		return
	}
	now := k.config.Clock()
	keepFor = min(keepFor, MaxRetention)
	k.mu.Lock()
	r, ok := k.table.put(key, o, now.Add(keepFor))
	if ok && endpoint != "" {
		r.endpoint, r.began = endpoint, now
	}
	k.mu.Unlock()
	if !ok {
		k.dropped.Inc()
	}
	m := message{Kind: kindRecords, Records: []reportedRecord{{Key: key.bytes(), Origin: o, LeftMillis: keepFor.Milliseconds()}}}
	k.sendTo(k.placement.Load().pick(key.Stream, k.config.Self, replicaCount), m.encode())
}

// Continue records the origin of a stream that began elsewhere and continues here, as Begin does, so that its next attempt finds it.
func (k *Keeper) Continue(key Key, o Origin, keepFor time.Duration) { k.Begin(key, o, "", keepFor) }

// Doubtful reports whether it has become doubtful which version began the stream of this node's own attempt.
func (k *Keeper) Doubtful(key Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.table.records[key]
	return ok && r.conflicting
}

// Covers reports whether this node has recorded streams for at least d. Streams that began earlier may be missing from what is known of a
// content, if the nodes that knew of them were lost.
func (k *Keeper) Covers(d time.Duration) bool { return k.config.Clock().Sub(k.started) >= d }

// applyVersionChanges takes account of the endpoints whose versions have changed.
func (k *Keeper) applyVersionChanges() {
	for _, id := range k.config.VersionChanges() {
		k.versionChanged(id)
	}
}

// versionChanged makes what this node recorded of the endpoint in the last seconds ambiguous, here and at the other nodes: the endpoint
// has started again with another version, and which of the two began these streams is not known.
func (k *Keeper) versionChanged(endpoint domain.EndpointID) {
	now := k.config.Clock()
	k.mu.Lock()
	doubtful := make(map[Key]*record)
	for key, r := range k.table.records {
		if r.endpoint == endpoint && now.Sub(r.began) < staleEntryWindow && !r.conflicting {
			k.table.put(key, Origin{Service: r.origin.Service}, r.expires)
			same := *r
			doubtful[key] = &same
		}
	}
	k.mu.Unlock()
	k.config.Log.Warn().Str("endpoint", string(endpoint)).Int("streams", len(doubtful)).
		Msg("endpoint changed its software version, its latest streams may be of either")
	all := k.placement.Load()
	k.report(doubtful, now, func(key Key) []domain.Member { return all.pick(key.Stream, k.config.Self, replicaCount) })
}

// Run drops expired records and, when the list of nodes has changed, reports records to the nodes that are new among those that will
// be queried, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	return pacing.Every(ctx, tickInterval, func() {
		k.mu.Lock()
		k.table.sweep(k.config.Clock())
		k.mu.Unlock()
		k.applyVersionChanges()
		k.refresh()
		k.repair(time.Now())
	})
}

// refresh reads the list of nodes.
func (k *Keeper) refresh() {
	members := k.config.Members()
	if !k.placement.Load().same(members) {
		k.placement.Store(newPlacement(members))
	}
}

// repair reports the records to the nodes that are new among their replicas since the last repair.
func (k *Keeper) repair(now time.Time) {
	before, after := k.reported, k.placement.Load()
	if before.same(after.members) || now.Before(k.nextRepair) {
		return
	}
	k.report(k.current(), k.config.Clock(), func(key Key) []domain.Member {
		had := before.pick(key.Stream, k.config.Self, replicaCount)
		return without(after.pick(key.Stream, k.config.Self, replicaCount), had)
	})
	k.reported = after
	k.nextRepair = now.Add(time.Duration(float64(time.Since(now)) / repairFraction))
}

// without returns a, which it modifies, less the members whose incarnations are in b.
func without(a, b []domain.Member) []domain.Member {
	return slices.DeleteFunc(a, func(m domain.Member) bool { return slices.ContainsFunc(b, m.SameIncarnation) })
}

// current returns copies of the records.
func (k *Keeper) current() map[Key]*record {
	k.mu.Lock()
	defer k.mu.Unlock()
	records := make(map[Key]*record, len(k.table.records))
	for key, r := range k.table.records {
		same := *r
		records[key] = &same
	}
	return records
}

// HandOver reports all records to the nodes that will be queried for them once this one has left.
func (k *Keeper) HandOver() {
	k.refresh()
	all := k.placement.Load()
	records := k.current()
	k.report(records, k.config.Clock(), func(key Key) []domain.Member { return all.pick(key.Stream, k.config.Self, replicaCount) })
	k.config.Log.Info().Int("streams", len(records)).Msg("origins of streams handed over")
}

// report reports each record to the nodes that to returns for it, several in one message.
func (k *Keeper) report(records map[Key]*record, now boottime.Instant, to func(Key) []domain.Member) {
	batches := make(map[string][]reportedRecord)
	for key, r := range records {
		left := min(r.expires.Sub(now), MaxRetention).Milliseconds()
		if left <= 0 {
			continue
		}
		for _, m := range to(key) {
			k.repeated.Inc()
			batch := append(batches[m.Address], reportedRecord{Key: key.bytes(), Origin: r.origin, LeftMillis: left, Conflicting: r.conflicting})
			if len(batch) == maxRecordsPerMessage {
				k.send(m.Address, (&message{Kind: kindRecords, Records: batch}).encode())
				batch = nil
			}
			batches[m.Address] = batch
		}
	}
	for address, batch := range batches {
		if len(batch) > 0 {
			k.send(address, (&message{Kind: kindRecords, Records: batch}).encode())
		}
	}
}

func (k *Keeper) sendTo(members []domain.Member, data []byte) {
	for _, m := range members {
		k.send(m.Address, data)
	}
}

func (k *Keeper) send(address string, data []byte) {
	k.messages.Inc()
	k.bytes.Add(len(data))
	if err := k.config.Send(address, data); err != nil {
		k.config.Log.Debug().Err(err).Str("peer", address).Msg("failed to send an origin")
	}
}

// Receive handles a message from the node at the address.
func (k *Keeper) Receive(data []byte, from string) {
	m, err := decode(data)
	if err != nil {
		k.malformed.Inc()
		k.config.Log.Warn().Err(err).Str("peer", from).Msg("message on origins of streams dropped")
		return
	}
	switch m.Kind {
	case kindRecords:
		k.accept(m.Records)
	case kindQuery:
		if reply, ok := k.reply(m); ok {
			k.send(from, reply.encode())
		}
	case kindReply:
		k.resolve(m)
	}
}

// accept records what another node reports.
func (k *Keeper) accept(records []reportedRecord) {
	now := k.config.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, reported := range records {
		key, _ := decodeKey(reported.Key) // checked by decode
		expires := now.Add(reported.left())
		_, ok := k.table.put(key, reported.Origin, expires)
		if ok && reported.Conflicting {
			_, ok = k.table.put(key, Origin{Service: reported.Origin.Service}, expires)
		}
		if !ok {
			k.dropped.Inc()
		}
	}
}

// Answer returns the reply to a query that came over a connection, or an error if it is malformed.
func (k *Keeper) Answer(query []byte) ([]byte, error) {
	m, err := decode(query)
	if err != nil {
		k.malformed.Inc()
		return nil, err
	}
	reply, ok := k.reply(m)
	if m.Kind != kindQuery || !ok {
		return nil, errMalformed
	}
	return reply.encode(), nil
}

// reply returns the reply to another node's query, false if the query is malformed.
func (k *Keeper) reply(m *message) (message, bool) {
	reply := message{Kind: kindReply, Query: m.Query, Key: []byte(k.config.Self)}
	if key, ok := decodeKey(m.Key); ok {
		reply.Known = k.local(key, true)
	} else if len(m.Key) == len(key.Stream) {
		copy(key.Stream[:], m.Key)
		reply.Known = k.local(key, false)
	} else {
		k.malformed.Inc()
		return message{}, false
	}
	return reply, true
}

// local returns the origins that this node knows of the attempt or, if it is not named, of the content.
func (k *Keeper) local(key Key, named bool) []Origin {
	k.mu.Lock()
	defer k.mu.Unlock()
	if named {
		return k.table.attempt(key, k.config.Clock())
	}
	return k.table.stream(key.Stream)
}
