package node

import (
	"context"
	"fmt"
	"sync"

	"hawthornrill.example/hawthornrill/endpoint"
)

// gate stands between a node and its endpoints: what a crashed node sends gets
// nowhere, and what a paused one sends goes out when it wakes.
type gate struct {
	mu      sync.Mutex
	crashed bool
	// awake is closed while the node is not paused.
	awake chan struct{}
}

func newGate() *gate {
	g := &gate{awake: make(chan struct{})}
	close(g.awake)
	return g
}

func (g *gate) crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed = true
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.awake = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.awake)
}

// pass waits while the node is paused; it returns an error if it has crashed.
func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	awake := g.awake
	g.mu.Unlock()
	select {
	case <-awake:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashed {
		return fmt.Errorf("%w: the node has crashed", endpoint.ErrNotDispatched)
	}
	return nil
}

// gatedEngine is an engine as one node reaches it.
type gatedEngine struct {
	endpoint.Engine
	gate *gate
}

func (e gatedEngine) Start(ctx context.Context, request endpoint.EngineRequest) (endpoint.Stream, error) {
	if err := e.gate.pass(ctx); err != nil {
		return nil, err
	}
	stream, err := e.Engine.Start(ctx, request)
	return gatedStream{stream, e.gate}, err
}

func (e gatedEngine) Resume(ctx context.Context, key string, from uint64) (endpoint.Stream, error) {
	if err := e.gate.pass(ctx); err != nil {
		return nil, err
	}
	stream, err := e.Engine.Resume(ctx, key, from)
	return gatedStream{stream, e.gate}, err
}

func (e gatedEngine) Cancel(ctx context.Context, key string) error {
	if err := e.gate.pass(ctx); err != nil {
		return err
	}
	return e.Engine.Cancel(ctx, key)
}

// gatedStream is a stream of a gatedEngine.
type gatedStream struct {
	endpoint.Stream
	gate *gate
}

func (s gatedStream) Next(ctx context.Context) (endpoint.Event, error) {
	event, err := s.Stream.Next(ctx)
	if err := s.gate.pass(ctx); err != nil {
		return endpoint.Event{}, endpoint.ErrBroken
	}
	return event, err
}
