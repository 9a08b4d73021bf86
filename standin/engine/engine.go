package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/standin/api"
)

// Engine is a simulated model engine. Its methods are safe for concurrent use.
// A goroutine runs only while there are requests to compute.
type Engine struct {
	options Options
	// timed clears faults that were set for a time.
	timed api.Timed

	mu              sync.Mutex
	waiting         []*sequence
	batch           []*sequence
	memory          memory
	streams         map[string]*stream
	endedStreams    []endedStream
	loadHistory     loadHistory
	events          cacheEvents
	prefilledBlocks map[uint64]struct{}
	counts          Counts
	runs            runLog
	orders          []OrderRecord
	models          models
	faults          Faults
	// unpaused is non-nil while the engine is paused and is closed when the pause
	// ends.
	unpaused    chan struct{}
	loopRunning bool
	// down is true between a crash and the restart. reportedAvailable is the state
	// last passed to Options.OnAvailabilityChange.
	down, reportedAvailable bool
	closed                  bool
	// incarnationEnd is closed when the engine crashes.
	incarnationEnd chan struct{}
	// incarnation counts crashes; a step that began in an earlier incarnation is
	// discarded.
	incarnation uint64
}

var _ endpoint.Engine = (*Engine)(nil)

// New returns an idle engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:           options,
		streams:           make(map[string]*stream),
		loadHistory:       loadHistory{lag: options.LoadLag},
		events:            newCacheEvents(options),
		prefilledBlocks:   make(map[uint64]struct{}),
		models:            newModels(options.Models),
		reportedAvailable: true,
		incarnationEnd:    make(chan struct{}),
	}
	e.memory = e.newMemory()
	e.recordLoad()
	return e
}

func (e *Engine) newMemory() memory {
	return memory{limit: e.options.KVTokens, cache: newCache(func(hash uint64, stored bool) {
		e.events.add(time.Now(), hash, stored)
	})}
}

// Start implements endpoint.Engine. It returns without waiting for the request to
// be admitted; requests are admitted in order of arrival. The key names the
// stream. Keys are not deduplicated: a second Start with the same key runs the
// request again, as engines do that rely on their callers for this.
func (e *Engine) Start(ctx context.Context, er endpoint.EngineRequest) (endpoint.Stream, error) {
	_, stream, err := e.start(ctx, er)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

func (e *Engine) start(ctx context.Context, er endpoint.EngineRequest) (request, *reader, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return request{}, nil, err
	}
	r, stream, err := e.accept(er)
	if err != nil {
		return request{}, nil, err
	}
	if err := e.delayReply(ctx); err != nil {
		return request{}, nil, err
	}
	if e.dropStartReply() {
		return request{}, nil, fmt.Errorf("%w: %w", endpoint.ErrBroken, errDisconnected)
	}
	return r, stream, nil
}

// accept parses, validates and enqueues a request.
func (e *Engine) accept(er endpoint.EngineRequest) (request, *reader, error) {
	r, err := parseRequest(er.Body)
	if err != nil {
		return request{}, nil, e.countRefusal(err)
	}
	s := newSequence(er.Key, r, e.options.Poison)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable() {
		return request{}, nil, fmt.Errorf("%w: connection refused", endpoint.ErrNotDispatched)
	}
	if err := e.validate(r, s); err != nil {
		e.counts.Refused++
		return request{}, nil, wrapRefused(err)
	}
	e.enqueue(s)
	return r, s.stream.reader(0), nil
}

func (e *Engine) countRefusal(err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Refused++
	return wrapRefused(err)
}

// validate returns an error if the request can't run on this engine or the queue
// is full.
func (e *Engine) validate(r request, s *sequence) error {
	if !e.models.serves(r.Model) {
		return fmt.Errorf("%w: %q", ErrModelNotLoaded, r.Model)
	}
	required := s.promptTokens + len(s.answer.Tokens)
	if required > e.options.KVTokens {
		return fmt.Errorf("%w: %d tokens don't fit into %d of KV cache", ErrBadRequest, required, e.options.KVTokens)
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
		PromptHash:   s.promptHash,
		PromptTokens: s.promptTokens,
		AnswerTokens: len(s.answer.Tokens),
	})
	e.counts.Arrived++
	e.streams[s.stream.key] = s.stream
	s.stream.sequence = s
	s.stream.setFaults(e.faults)
	if e.faults.Poison != "" && s.request.contains(e.faults.Poison) {
		s.poisoned = true
	}
	e.waiting = append(e.waiting, s)
	e.recordLoad()
	e.startLoop()
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
	if err := e.awaitReachable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pruneEndedStreams()
	s, ok := e.streams[key]
	if !ok {
		return nil, endpoint.ErrStreamNotFound
	}
	return s.reader(from), nil
}

// Cancel implements endpoint.Engine. It removes the sequence from the batch or
// queue, frees its KV memory and deletes the stream.
func (e *Engine) Cancel(ctx context.Context, key string) error {
	if err := e.awaitReachable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[key]
	if !ok {
		return nil
	}
	delete(e.streams, key)
	if s.sequence.ended {
		return nil
	}
	e.counts.Cancelled++
	e.abandon(s.sequence, RunCancelled, errCancelled)
	e.remove(s.sequence)
	e.recordLoad()
	return nil
}

// Load implements endpoint.Engine.
func (e *Engine) Load(ctx context.Context) (endpoint.LoadReport, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return endpoint.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadHistory.report(time.Now()), nil
}

// CacheEvents implements endpoint.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]endpoint.CacheEvent, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(time.Now(), after), nil
}

// Counts returns the totals since the engine was created.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs returns the requests that the engine accepted, in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs.copy()
}

// usage returns the token usage of a finished request.
func (e *Engine) usage(s *stream) usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := s.sequence.run
	return newUsage(run.PromptTokens, run.Emitted, run.Cached)
}

// recordLoad adds the current load to the history from which reports are made.
func (e *Engine) recordLoad() {
	e.loadHistory.add(time.Now(), endpoint.LoadReport{
		Running:      len(e.batch),
		Waiting:      len(e.waiting),
		KVTokensUsed: e.memory.pinned(),
		KVTokens:     e.memory.limit,
		Leaving:      e.faults.Leaving,
	})
}
