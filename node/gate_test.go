package node

import (
	"context"
	"fmt"
	"sync"

	"hawthornrill.example/hawthornrill/endpoint"
)

// gate controls the calls of a node to its endpoints, its store and its callers: a
// crashed node sends nothing, and the calls of a paused one wait until it resumes.
type gate struct {
	// observe is called with each call and event, before the gate delays or drops it.
	observe func(name, key string, offset uint64)
	mu      sync.Mutex
	crashed bool
	// resumed is closed while the node is not paused.
	resumed chan struct{}
}

func newGate(observe func(name, key string, offset uint64)) *gate {
	g := &gate{observe: observe, resumed: make(chan struct{})}
	close(g.resumed)
	return g
}

func (g *gate) crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed = true
	g.endPause()
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
		g.resumed = make(chan struct{})
	default:
		// The node is already paused.
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endPause()
}

// endPause ends a pause, if any. The caller holds mu.
func (g *gate) endPause() {
	select {
	case <-g.resumed:
	default:
		close(g.resumed)
	}
}

// isCrashed reports whether the node has crashed.
func (g *gate) isCrashed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashed
}

// pass waits while the node is paused, even after ctx is done, since nothing returns
// in a paused process. It returns an error if the node has crashed or ctx is done.
func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	<-resumed
	if g.isCrashed() {
		return fmt.Errorf("%w: the node has crashed", endpoint.ErrNotDispatched)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	return nil
}

// gatedEngine is an engine called through the gate of a node.
type gatedEngine struct {
	endpoint.Engine
	gate *gate
}

func (e gatedEngine) Start(ctx context.Context, request endpoint.EngineRequest) (endpoint.Stream, error) {
	e.gate.observe(eventStart, request.Key, 0)
	if err := e.gate.pass(ctx); err != nil {
		return nil, err
	}
	stream, err := e.Engine.Start(ctx, request)
	return gatedStream{stream, e.gate, request.Key}, err
}

func (e gatedEngine) Resume(ctx context.Context, key string, from uint64) (endpoint.Stream, error) {
	if err := e.gate.pass(ctx); err != nil {
		return nil, err
	}
	stream, err := e.Engine.Resume(ctx, key, from)
	return gatedStream{stream, e.gate, key}, err
}

func (e gatedEngine) Cancel(ctx context.Context, key string) error {
	if err := e.gate.pass(ctx); err != nil {
		return err
	}
	return e.Engine.Cancel(ctx, key)
}

// gatedStream is a stream from a gatedEngine.
type gatedStream struct {
	endpoint.Stream
	gate *gate
	key  string
}

func (s gatedStream) Next(ctx context.Context) (endpoint.Event, error) {
	event, err := s.Stream.Next(ctx)
	if err == nil {
		s.gate.observe(eventToken, s.key, event.Offset)
	}
	if err := s.gate.pass(ctx); err != nil {
		return endpoint.Event{}, endpoint.ErrBroken
	}
	return event, err
}
