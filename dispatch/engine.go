package dispatch

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// EngineRun holds the parameters of a request to a model engine.
type EngineRun struct {
	// Body is the caller's JSON body with "stream" set to true.
	Body []byte
	// Buffer receives the answer. The run does not end it.
	Buffer *answer.Buffer
	// Progress, if set, is called with the number of answer tokens at intervals of
	// Options.ProgressEvery.
	Progress func(answerTokens int)
}

// RunEngine uses up the permit, dispatches the request and copies the answer into the buffer,
// resuming at the same engine when the stream breaks. It returns when the answer is complete or
// can't be completed, or when ctx ends; in the last two cases the engine is told to cancel, unless
// it refused the request or another node has taken over the stream. Events that the engine repeats
// are discarded. Chunks have the engine's offsets as their sequence numbers, without gaps.
func (d *Dispatcher) RunEngine(ctx context.Context, permit *Permit, run EngineRun) Result {
	engine, ok := d.endpoints.Engine(permit.endpoint)
	if !ok {
		return notSent(ErrNoAdapter, true)
	}
	if err := cancelCause(ctx); err != nil {
		return notSent(err, false)
	}
	if !permit.use() {
		return notSent(ErrPermitUsed, false)
	}
	key := permit.key.String()
	c := newStreamCopier(engine, key, run, d.options)
	var startErr error
	err := c.attempt(ctx, func(ctx context.Context) (stream endpoint.Stream, err error) {
		stream, startErr = engine.Start(ctx, endpoint.EngineRequest{Key: key, Body: run.Body})
		return stream, startErr
	})
	// Only Start can report that nothing was sent; a later error does not mean that.
	if errors.Is(startErr, endpoint.ErrNotDispatched) {
		return notSent(startErr, cancelCause(ctx) == nil)
	}
	if err != nil {
		d.logBreak(ctx, permit.key, permit.endpoint, err)
		err = c.resume(ctx, err)
	}
	return c.finish(ctx, err)
}

// ResumeEngine reads the rest of the answer to a request that another incarnation dispatched to the
// engine, from the buffer's next sequence number on. It dispatches nothing.
func (d *Dispatcher) ResumeEngine(ctx context.Context, id domain.EndpointID, key domain.RequestKey, run EngineRun) Result {
	engine, ok := d.endpoints.Engine(id)
	if !ok {
		return Result{End: endOf(ErrNoAdapter)}
	}
	c := newStreamCopier(engine, key.String(), run, d.options)
	err := c.resume(ctx, endpoint.ErrBroken)
	if err != nil {
		d.logBreak(ctx, key, id, err)
	}
	return c.finish(ctx, err)
}

// finish returns the result, and cancels the stream to free the engine's slot if the answer is not
// complete.
func (c *streamCopier) finish(ctx context.Context, err error) Result {
	c.usage.Dispatched = true
	c.usage.Total = time.Since(c.started)
	c.usage.AnswerTokens = c.tokens
	if err == nil {
		c.usage.Complete = true
		c.readUsage()
		return Result{Usage: c.usage}
	}
	if !errors.Is(err, endpoint.ErrRefused) && !errors.Is(err, ErrOvertaken) {
		c.cancel(ctx)
	}
	end := endOf(err)
	c.usage.Crashed = end.Code == answer.CodeBroken
	return Result{End: end, Usage: c.usage}
}

// cancel tells the engine to stop, even if ctx has ended. If the call is lost, the engine's time is
// wasted, with no other effect.
func (c *streamCopier) cancel(ctx context.Context) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), c.options.CancelTimeout)
	defer done()
	_ = c.engine.Cancel(ctx, c.key)
}
