package schedulertest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// errDisconnected is the error of a scripted disconnection.
var errDisconnected = errors.New("schedulertest: connection broken")

// Script defines the behaviour of an engine.
type Script struct {
	// Tokens is the length of each answer, Interval the time between two tokens.
	Tokens   int
	Interval time.Duration
	// StartErr is returned by Engine.Start; with RunDespiteStartErr the request runs
	// nevertheless.
	StartErr           error
	RunDespiteStartErr bool
	// DisconnectAt lists the offsets before which the connection breaks, once each.
	DisconnectAt []uint64
	// StallAt is the offset before which the first connection stops sending; zero for
	// none.
	StallAt uint64
	// ResumeErr is returned by Engine.Resume while ResumeFailures is above zero.
	ResumeErr      error
	ResumeFailures int
	// DuplicateEvents sends every event twice, StaleEvents sends an old event after
	// every event, SkipAt omits this offset on the first connection.
	DuplicateEvents bool
	StaleEvents     bool
	SkipAt          uint64
	// ForgetOnDisconnect makes the engine discard streams when the connection breaks.
	ForgetOnDisconnect bool
}

// Engine is a scripted model engine that logs its calls.
type Engine struct {
	mu        sync.Mutex
	script    Script
	started   []string
	cancelled []string
	running   map[string]time.Time
}

// NewEngine returns an engine that follows the script.
func NewEngine(script Script) *Engine {
	return &Engine{script: script, running: make(map[string]time.Time)}
}

// Started returns the keys of the requests started, in order.
func (e *Engine) Started() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.started...)
}

// Cancelled returns the keys passed to Cancel.
func (e *Engine) Cancelled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.cancelled...)
}

// EventData returns the data of one event of the answer to a key.
func EventData(key string, offset uint64) string {
	return fmt.Sprintf(`{"id":"chat","model":"m","choices":[{"index":0,"delta":{"content":"%s/%d;"}}]}`, key, offset)
}

// Start logs the key and opens its stream.
func (e *Engine) Start(_ context.Context, request endpoint.EngineRequest) (endpoint.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.script.StartErr != nil && !e.script.RunDespiteStartErr {
		return nil, e.script.StartErr
	}
	e.started = append(e.started, request.Key)
	e.running[request.Key] = time.Now()
	if e.script.StartErr != nil {
		return nil, e.script.StartErr
	}
	return &stream{engine: e, script: e.script, key: request.Key, first: true}, nil
}

// Resume continues a started stream.
func (e *Engine) Resume(_ context.Context, key string, from uint64) (endpoint.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.script.ResumeFailures > 0 {
		e.script.ResumeFailures--
		return nil, e.script.ResumeErr
	}
	if _, ok := e.running[key]; !ok {
		return nil, endpoint.ErrStreamNotFound
	}
	return &stream{engine: e, script: e.script, key: key, next: from}, nil
}

// Cancel logs the key.
func (e *Engine) Cancel(_ context.Context, key string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, key)
	return nil
}

// Load returns an empty report.
func (e *Engine) Load(context.Context) (endpoint.LoadReport, error) {
	return endpoint.LoadReport{}, nil
}

// CacheEvents returns no events.
func (e *Engine) CacheEvents(context.Context, uint64) ([]endpoint.CacheEvent, error) {
	return nil, nil
}

// disconnectAt reports whether the connection breaks before the offset.
func (e *Engine) disconnectAt(key string, offset uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, at := range e.script.DisconnectAt {
		if at != offset {
			continue
		}
		e.script.DisconnectAt = append(append([]uint64(nil), e.script.DisconnectAt[:i]...), e.script.DisconnectAt[i+1:]...)
		if e.script.ForgetOnDisconnect {
			delete(e.running, key)
		}
		return true
	}
	return false
}

// waitProduced waits until the engine has produced the offset.
func (e *Engine) waitProduced(ctx context.Context, key string, offset uint64) error {
	e.mu.Lock()
	at := e.running[key].Add(time.Duration(offset+1) * e.script.Interval)
	e.mu.Unlock()
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type stream struct {
	engine   *Engine
	script   Script
	key      string
	next     uint64
	first    bool
	replayed []endpoint.Event
}

func (s *stream) Next(ctx context.Context) (endpoint.Event, error) {
	if len(s.replayed) > 0 {
		event := s.replayed[0]
		s.replayed = s.replayed[1:]
		return event, nil
	}
	script := s.script
	if s.engine.disconnectAt(s.key, s.next) {
		return endpoint.Event{}, fmt.Errorf("%w: %w", endpoint.ErrBroken, errDisconnected)
	}
	if s.next >= uint64(script.Tokens) {
		return endpoint.Event{}, io.EOF
	}
	if s.first && script.StallAt > 0 && s.next == script.StallAt {
		<-ctx.Done()
		return endpoint.Event{}, ctx.Err()
	}
	if s.first && script.SkipAt > 0 && s.next == script.SkipAt {
		s.next++
	}
	if err := s.engine.waitProduced(ctx, s.key, s.next); err != nil {
		return endpoint.Event{}, err
	}
	event := endpoint.Event{Offset: s.next, Data: []byte(EventData(s.key, s.next))}
	s.next++
	s.queueReplays(script, event)
	return event, nil
}

func (s *stream) queueReplays(script Script, event endpoint.Event) {
	if script.DuplicateEvents {
		s.replayed = append(s.replayed, event)
	}
	if script.StaleEvents {
		oldOffset := event.Offset / 2
		s.replayed = append(s.replayed, endpoint.Event{Offset: oldOffset, Data: []byte("stale " + EventData(s.key, oldOffset))})
	}
}

func (s *stream) Close() error { return nil }
