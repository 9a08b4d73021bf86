package poison

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/domain"
)

// Config is a Tracker's dependencies.
type Config struct {
	// Probe opens a connection to the address, "IP:port", and returns an error that wraps ErrEnded if nothing serves there. Any other result
	// leaves open whether the endpoint has ended.
	Probe func(ctx context.Context, address string) error
	// Endpoints returns the number of a service's endpoints.
	Endpoints func(service string) int
	// AllHeard reports whether there are recent reports of all other nodes.
	AllHeard func() bool
	// Lost reports whether this node reaches no endpoint of the service, so that what it sees of them tells nothing.
	Lost    func(service string) bool
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Break is an answer that broke off.
type Break struct {
	Request Request
	// ID is the request's id, Events the number of events that had come.
	ID     string
	Events int
	// Endpoint is the incarnation, Address its address, "IP:port".
	Endpoint domain.EndpointID
	Address  string
	// StartedAt is when the request was sent to the endpoint.
	StartedAt time.Time
}

// partKey is a part within its scope.
type partKey struct{ scope, part uint64 }

// Tracker holds the evidence and the identifications. It is safe for concurrent use.
type Tracker struct {
	config Config
	// verdicts is replaced at each change, so that it is read without a lock.
	verdicts atomic.Pointer[verdicts]
	// tracked is the number of records, so that nothing else is done while there are none.
	tracked atomic.Int64
	started time.Time
	proven  provenParts
	counts  popularity

	mu      sync.Mutex
	records []record
	// cleared holds when parts were cleared, for evidence that comes late.
	cleared map[partKey]time.Time
	// answered holds, by endpoint, when the latest request was sent that it answered.
	answered map[uint64]time.Time
	// soundParts and alive are this node's latest statements on other evidence, for its reports.
	soundParts []timed[partKey]
	alive      []timed[uint64]
	probing    map[uint64]bool
	dirty      bool
	wake       chan struct{}

	// watchers are the requests that wait for an endpoint, or for the first event of an answer.
	watchersMu sync.Mutex
	watchers   map[*watcher]struct{}

	ends, refusals, identified *metrics.Counter
}

// timed is a value and the time at which it was seen.
type timed[T comparable] struct {
	value T
	at    time.Time
}

// New returns a tracker without evidence, and registers its metrics. Run evaluates the evidence.
func New(config Config) *Tracker {
	t := &Tracker{
		config: config, cleared: make(map[partKey]time.Time), answered: make(map[uint64]time.Time), probing: make(map[uint64]bool),
		wake: make(chan struct{}, 1), watchers: make(map[*watcher]struct{}), started: time.Now(),
		ends:       config.Metrics.NewCounter("hawthornrill_poison_endpoint_ends_total"),
		refusals:   config.Metrics.NewCounter("hawthornrill_poison_refusals_total"),
		identified: config.Metrics.NewCounter("hawthornrill_poison_identifications_total"),
	}
	t.verdicts.Store(&verdicts{})
	config.Metrics.NewGauge("hawthornrill_poison_parts_identified", func() float64 { return float64(t.Identified()) })
	return t
}

// Identified returns the number of identifications in force.
func (t *Tracker) Identified() int { return t.verdicts.Load().inForce() }

// Refuses reports whether the request must not be sent to an endpoint.
func (t *Tracker) Refuses(r Request) bool {
	set := *t.verdicts.Load()
	if len(set) == 0 {
		return false
	}
	v, refused := set.refuses(r.Scope.Hash(), r.suspects())
	if !refused {
		return false
	}
	t.refusals.Inc()
	if now := time.Now(); now.Sub(v.at) >= refreshInterval {
		v.at = now
		t.merge(now, v)
	}
	return true
}

// Observe counts a request of a caller. It is called once for each.
func (t *Tracker) Observe(r Request) {
	t.counts.add(time.Now(), r.Scope.Hash(), r.Scope.Service, r.suspects())
}

// Broke records an answer that broke off, and finds out whether its endpoint has ended.
func (t *Tracker) Broke(b Break) {
	parts := b.Request.suspects()
	if len(parts) == 0 {
		return
	}
	r := record{
		scope: b.Request.Scope.Hash(), service: b.Request.Scope.Service, request: hashOf(b.ID), endpoint: hashOf(string(b.Endpoint)),
		startedAt: b.StartedAt, endedAt: time.Now(), own: true,
	}
	if b.Events < SoundEvents {
		r.parts, r.early = parts, true
	}
	t.mu.Lock()
	r.confirmed = t.isConfirmed(r.endpoint)
	t.add(r)
	probe := !t.probing[r.endpoint] && !r.confirmed
	if probe {
		t.probing[r.endpoint] = true
	}
	t.mu.Unlock()
	if probe {
		go t.probe(b, r.endpoint)
	}
}

// Answered records that the endpoint answered a request that was sent to it at the time.
func (t *Tracker) Answered(endpoint domain.EndpointID, startedAt time.Time) {
	e := hashOf(string(endpoint))
	t.mu.Lock()
	defer t.mu.Unlock()
	if !startedAt.After(t.answered[e]) {
		return
	}
	t.recordAnswer(e, startedAt)
	if len(t.records) > 0 && t.refute(e, startedAt) {
		t.alive = append(t.alive, timed[uint64]{e, startedAt})
	}
}

// recordAnswer records when the latest request was sent that the endpoint answered. The lock is held.
func (t *Tracker) recordAnswer(endpoint uint64, startedAt time.Time) {
	if len(t.answered) >= maxAnswered {
		clear(t.answered)
	}
	t.answered[endpoint] = startedAt
}

// Replaced records that another incarnation is at the endpoint's address, so that it has ended.
func (t *Tracker) Replaced(endpoint domain.EndpointID) {
	if t.tracked.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(hashOf(string(endpoint)))
}

// Sound records that an answer to the request has got far, which clears its content and the parts of its prompt.
func (t *Tracker) Sound(r Request) {
	parts, scope := r.suspects(), r.Scope.Hash()
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	t.proven.add(now, scope, parts)
	if t.tracked.Load() == 0 && len(*t.verdicts.Load()) == 0 {
		return
	}
	t.mu.Lock()
	for _, part := range parts {
		if k := (partKey{scope, part}); t.clear(k, now) {
			t.soundParts = append(t.soundParts, timed[partKey]{k, now})
		}
	}
	t.mu.Unlock()
	if v, refused := t.verdicts.Load().refuses(scope, parts); refused {
		v.at, v.cleared = now, true
		t.config.Log.Info().Str("service", r.Scope.Service).Str("organisation", string(r.Scope.Organisation)).Strs("prompt_parts", names(v.parts)).
			Msg("an answer got far on parts that were held to end endpoints; they are no longer refused")
		t.merge(now, v)
	}
}

// clear drops what was held against the part before the time, and reports whether there was anything. The lock is held.
func (t *Tracker) clear(k partKey, at time.Time) bool {
	found := false
	for i := range t.records {
		if r := &t.records[i]; r.scope == k.scope && !r.endedAt.After(at) && slices.Contains(r.parts, k.part) {
			r.parts = slices.DeleteFunc(slices.Clone(r.parts), func(part uint64) bool { return part == k.part })
			found = true
		}
	}
	if found {
		if len(t.cleared) >= maxCleared {
			clear(t.cleared)
		}
		t.cleared[k] = at
		t.changed()
	}
	return found
}

// add adds a record. The lock is held.
func (t *Tracker) add(r record) {
	if !r.early && slices.ContainsFunc(t.records, func(o record) bool { return o.endpoint == r.endpoint }) {
		return // it says no more than the other one
	}
	t.records = append(t.records, r)
	ofScope := 0
	for i := range t.records {
		if t.records[i].scope == r.scope {
			ofScope++
		}
	}
	switch {
	case ofScope > maxRecordsPerScope:
		at := slices.IndexFunc(t.records, func(o record) bool { return o.scope == r.scope })
		t.records = slices.Delete(t.records, at, at+1)
	case len(t.records) > maxRecords:
		t.records = slices.Delete(t.records, 0, 1)
	}
	t.changed()
}

// changed requests an evaluation. The lock is held.
func (t *Tracker) changed() {
	t.tracked.Store(int64(len(t.records)))
	t.dirty = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// isConfirmed reports whether the endpoint is known to have ended. The lock is held.
func (t *Tracker) isConfirmed(endpoint uint64) bool {
	return slices.ContainsFunc(t.records, func(r record) bool { return r.endpoint == endpoint && r.confirmed })
}

// confirm marks the endpoint as ended. The lock is held.
func (t *Tracker) confirm(endpoint uint64) {
	if !t.isConfirmed(endpoint) {
		t.ends.Inc()
	}
	for i := range t.records {
		if t.records[i].endpoint == endpoint {
			t.records[i].confirmed = true
		}
	}
	t.changed()
}

// refute drops the records of an endpoint that answered a request sent at the time: it had not ended by then. It reports whether there were
// any. The lock is held.
func (t *Tracker) refute(endpoint uint64, at time.Time) bool {
	before := len(t.records)
	t.records = slices.DeleteFunc(t.records, func(r record) bool { return r.endpoint == endpoint && at.After(r.endedAt.Add(r.margin())) })
	if len(t.records) == before {
		return false
	}
	t.changed()
	return true
}

// margin is the uncertainty of the record's times.
func (r *record) margin() time.Duration {
	if r.own {
		return 0
	}
	return clockMargin
}

// probe finds out whether the endpoint of a broken answer has ended.
func (t *Tracker) probe(b Break, endpoint uint64) {
	err := t.config.Probe(context.Background(), b.Address)
	lost := t.config.Lost(b.Request.Scope.Service)
	ended := isEnded(err) && !lost
	t.config.Log.Info().Str("endpoint", string(b.Endpoint)).Str("service", b.Request.Scope.Service).Str("request", b.ID).Int("events", b.Events).
		Bool("ended", ended).Bool("service_lost", lost).AnErr("probe", err).Msg("an answer broke off: endpoint probed")
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.probing, endpoint)
	if ended {
		t.confirm(endpoint)
	}
}

// Run evaluates the evidence until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		for t.evaluate(time.Now()) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(judgeInterval):
			}
		}
	}
}

// evaluate identifies parts by the evidence. It reports whether there is evidence that has not settled.
func (t *Tracker) evaluate(now time.Time) (unsettled bool) {
	t.mu.Lock()
	t.sweep(now)
	unsettled = slices.ContainsFunc(t.records, func(r record) bool { return now.Sub(r.endedAt) < confirmTimeout })
	warm := now.Sub(t.started) >= warmUp
	if !warm || !t.dirty && !unsettled {
		unsettled = unsettled || !warm && len(t.records) > 0
		t.mu.Unlock()
		return unsettled
	}
	t.dirty = false
	e := evidence{records: slices.Clone(t.records), provenSound: t.proven.has, share: t.counts.share, endpoints: t.config.Endpoints, partial: !t.config.AllHeard()}
	t.mu.Unlock()
	for _, v := range *t.verdicts.Load() {
		e.verdicts = append(e.verdicts, v)
	}
	for _, v := range judge(now, e) {
		t.identify(now, v, e.records)
		e.verdicts = append(e.verdicts, v)
	}
	return unsettled
}

// identify puts an identification into force.
func (t *Tracker) identify(now time.Time, v verdict, records []record) {
	service, requests := "", 0
	for i := range records {
		if r := &records[i]; r.scope == v.scope && r.has(v.parts) {
			service = r.service
			requests++
		}
	}
	if t.merge(now, v) {
		t.identified.Inc()
		t.config.Log.Warn().Str("service", service).Uint64("scope", v.scope).Strs("prompt_parts", names(v.parts)).Int("endpoints_ended", v.ends).
			Int("requests", requests).Msg("parts of prompts end endpoints, requests with all of them are refused")
	}
}

// sweep drops what is no longer needed. The lock is held.
func (t *Tracker) sweep(now time.Time) {
	t.records = slices.DeleteFunc(t.records, func(r record) bool {
		age := now.Sub(r.endedAt)
		return age >= recordRetention || !r.confirmed && age >= confirmTimeout
	})
	t.tracked.Store(int64(len(t.records)))
	maps.DeleteFunc(t.cleared, func(_ partKey, at time.Time) bool { return now.Sub(at) >= clearedRetention })
}

// merge adds an identification, and reports whether that changed the set.
func (t *Tracker) merge(now time.Time, v verdict) bool {
	for {
		old := t.verdicts.Load()
		next, changed := old.merge(now, v)
		if !changed {
			return false
		}
		if t.verdicts.CompareAndSwap(old, &next) {
			if v.inForce() {
				t.cancelRefused(v)
			}
			return true
		}
	}
}
