package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// Engine is a stand-in for a model engine. Its methods may be called at any
// time. It runs a goroutine only while it has work.
type Engine struct {
	options Options

	mu      sync.Mutex
	waiting []*sequence
	batch   []*sequence
	memory  memory
	streams map[string]*stream
	ended   []endedStream
	history history
	events  cacheEvents
	seen    map[uint64]struct{}
	counts  Counts
	runs    runLog
	orders  []OrderRecord
	models  models
	faults  Faults
	// unpaused is not nil while the engine is paused; it is closed at the end.
	unpaused chan struct{}
	busy     bool
	// down is true between a crash and the restart. up is what Options.OnUp knows.
	down, up bool
	closed   bool
	// lifeEnd is closed by the next crash.
	lifeEnd chan struct{}
	// life counts crashes; a step begun in an earlier life has no effect.
	life uint64
}

var _ endpoint.Engine = (*Engine)(nil)

// New returns an idle engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options: options,
		streams: make(map[string]*stream),
		history: history{lag: options.LoadLag},
		events:  newCacheEvents(options),
		seen:    make(map[uint64]struct{}),
		models:  newModels(options.Models),
		up:      true,
		lifeEnd: make(chan struct{}),
	}
	e.memory = e.emptyMemory()
	e.noteLoad()
	return e
}

func (e *Engine) emptyMemory() memory {
	return memory{limit: e.options.KVTokens, cache: newCache(func(hash uint64, stored bool) {
		e.events.add(time.Now(), hash, stored)
	})}
}

// Start implements endpoint.Engine. It returns at once; the request waits its
// turn in the order of arrival. The key names the stream; a second Start with
// the same key runs the request again, as an engine does that trusts its callers.
func (e *Engine) Start(ctx context.Context, er endpoint.EngineRequest) (endpoint.Stream, error) {
	_, stream, err := e.start(ctx, er)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

func (e *Engine) start(ctx context.Context, er endpoint.EngineRequest) (request, *reader, error) {
	if err := e.enter(ctx); err != nil {
		return request{}, nil, err
	}
	r, stream, err := e.accept(er)
	if err != nil {
		return request{}, nil, err
	}
	if err := e.answerLate(ctx); err != nil {
		return request{}, nil, err
	}
	if e.loseStart() {
		return request{}, nil, fmt.Errorf("%w: %w", endpoint.ErrBroken, errCut)
	}
	return r, stream, nil
}

// accept takes a request into the engine.
func (e *Engine) accept(er endpoint.EngineRequest) (request, *reader, error) {
	r, err := parseRequest(er.Body)
	if err != nil {
		return request{}, nil, e.refuse(err)
	}
	s := newSequence(er.Key, r, e.options.Poison)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuses() {
		return request{}, nil, fmt.Errorf("%w: connection refused", endpoint.ErrNotDispatched)
	}
	if err := e.check(r, s); err != nil {
		e.counts.Refused++
		return request{}, nil, refused(err)
	}
	e.enqueue(s)
	return r, s.stream.reader(0), nil
}

func (e *Engine) refuse(err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Refused++
	return refused(err)
}

// check refuses what can never run here.
func (e *Engine) check(r request, s *sequence) error {
	if !e.models.serves(r.Model) {
		return fmt.Errorf("%w: %q", ErrModelNotLoaded, r.Model)
	}
	need := s.prompt + len(s.answer.Tokens)
	if need > e.options.KVTokens {
		return fmt.Errorf("%w: %d tokens don't fit into %d of KV cache", ErrBadRequest, need, e.options.KVTokens)
	}
	if e.options.WaitingLimit > 0 && len(e.waiting) >= e.options.WaitingLimit {
		return ErrQueueFull
	}
	return nil
}

func (e *Engine) enqueue(s *sequence) {
	s.run = e.runs.add(Run{
		Key:          s.stream.key,
		Model:        s.model,
		State:        RunWaiting,
		Leaving:      e.faults.Leaving,
		Arrived:      time.Now(),
		PromptHash:   s.sum,
		PromptTokens: s.prompt,
		AnswerTokens: len(s.answer.Tokens),
	})
	e.counts.Arrived++
	e.streams[s.stream.key] = s.stream
	s.stream.sequence = s
	s.stream.setFaults(e.faults)
	if e.faults.Poison != "" && s.request.contains(e.faults.Poison) {
		s.poison = true
	}
	e.waiting = append(e.waiting, s)
	e.noteLoad()
	e.work()
}

// Resume implements endpoint.Engine.
func (e *Engine) Resume(ctx context.Context, key string, from uint64) (endpoint.Stream, error) {
	stream, err := e.resume(ctx, key, from)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

func (e *Engine) resume(ctx context.Context, key string, from uint64) (*reader, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetEnded()
	s, ok := e.streams[key]
	if !ok {
		return nil, endpoint.ErrStreamNotFound
	}
	return s.reader(from), nil
}

// Cancel implements endpoint.Engine. It frees the sequence's place and memory at
// once and forgets the stream.
func (e *Engine) Cancel(ctx context.Context, key string) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[key]
	if !ok {
		return nil
	}
	delete(e.streams, key)
	if s.sequence.gone {
		return nil
	}
	e.counts.Cancelled++
	e.abandon(s.sequence, RunCancelled, errCancelled)
	e.remove(s.sequence)
	e.noteLoad()
	return nil
}

// Load implements endpoint.Engine.
func (e *Engine) Load(ctx context.Context) (endpoint.LoadReport, error) {
	if err := e.enter(ctx); err != nil {
		return endpoint.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.report(time.Now()), nil
}

// CacheEvents implements endpoint.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]endpoint.CacheEvent, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(time.Now(), after), nil
}

// Counts returns the sums so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs returns all requests that the engine accepted, in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs.copy()
}

// usage returns the account of a finished request.
func (e *Engine) usage(s *stream) usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := s.sequence.run
	return newUsage(run.PromptTokens, run.Emitted, run.Cached)
}

// noteLoad keeps the present load for later reports.
func (e *Engine) noteLoad() {
	e.history.add(time.Now(), endpoint.LoadReport{
		Running:      len(e.batch),
		Waiting:      len(e.waiting),
		KVTokensUsed: e.memory.pinned(),
		KVTokens:     e.memory.limit,
		Leaving:      e.faults.Leaving,
	})
}
