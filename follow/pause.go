package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/store"
)

// maxPause bounds a pause that the store asks for. A wrong value would otherwise cut a node off from the store for good.
const maxPause = time.Minute

// Pause holds back calls to the store for as long as it asks for. All calls of a process should share one.
type Pause struct {
	Clock boottime.Clock
	Log   zerolog.Logger
	// until is the boottime.Instant at which the pause ends.
	until atomic.Int64
}

// check returns an error if the pause is in force; it means that no call was made.
func (p *Pause) check() error {
	if left := boottime.Instant(p.until.Load()).Sub(p.Clock()); left > 0 {
		return &store.RetryLaterError{After: left}
	}
	return nil
}

// observe begins or extends a pause if the error of a call asks for it.
func (p *Pause) observe(err error) {
	asked := store.RetryDelay(err)
	if asked <= 0 {
		return
	}
	after := min(asked, maxPause)
	until := int64(p.Clock().Add(after))
	for before := p.until.Load(); until > before; before = p.until.Load() {
		if p.until.CompareAndSwap(before, until) {
			p.Log.Warn().Err(err).Dur("asked_ms", asked).Dur("pause_ms", after).Msg("store asks for a pause of calls")
			return
		}
	}
}

// paused makes the call unless the pause is in force.
func paused[T any](p *Pause, call func() (T, error)) (result T, err error) {
	if err := p.check(); err != nil {
		return result, err
	}
	result, err = call()
	p.observe(err)
	return result, err
}

// pausingSource is a Source that makes no calls during a pause.
type pausingSource struct {
	Source
	pause *Pause
}

// Source returns a Source that makes no calls during the pause. They fail with store.ErrUnavailable instead.
func (p *Pause) Source(inner Source) Source { return pausingSource{inner, p} }

func (s pausingSource) Load(ctx context.Context, topic Topic) (Change, error) {
	return paused(s.pause, func() (Change, error) { return s.Source.Load(ctx, topic) })
}

func (s pausingSource) Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error) {
	return paused(s.pause, func() (Change, error) { return s.Source.Watch(ctx, topic, after, wait) })
}

func (s pausingSource) Nodes(ctx context.Context, allowStale bool) (NodeList, error) {
	return paused(s.pause, func() (NodeList, error) { return s.Source.Nodes(ctx, allowStale) })
}

// pausingRegistry is a Registry that makes no calls during a pause.
type pausingRegistry struct {
	inner Registry
	pause *Pause
}

// Registry returns a Registry that makes no calls during the pause. They fail with store.ErrUnavailable instead.
func (p *Pause) Registry(inner Registry) Registry { return pausingRegistry{inner, p} }

func (r pausingRegistry) Register(ctx context.Context, self Peer, ttl time.Duration) (store.LeaseID, error) {
	return paused(r.pause, func() (store.LeaseID, error) { return r.inner.Register(ctx, self, ttl) })
}

func (r pausingRegistry) Renew(ctx context.Context, lease store.LeaseID) error {
	_, err := paused(r.pause, func() (struct{}, error) { return struct{}{}, r.inner.Renew(ctx, lease) })
	return err
}

func (r pausingRegistry) Unregister(ctx context.Context, lease store.LeaseID) error {
	_, err := paused(r.pause, func() (struct{}, error) { return struct{}{}, r.inner.Unregister(ctx, lease) })
	return err
}
