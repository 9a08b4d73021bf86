package dispatch

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// EngineRun is what a model's run needs.
type EngineRun struct {
	// Body is the caller's JSON body with "stream" set to true.
	Body []byte
	// Buffer gets the answer. It is not ended by the run.
	Buffer *answer.Buffer
	// Progress, if set, is called with the number of answer tokens now and then.
	Progress func(answerTokens int)
}

// RunEngine spends the permit, dispatches the request and copies the answer into
// the buffer, resuming at the same engine when the stream breaks. It returns
// when the answer is complete, can't be completed, or ctx ends; then the engine
// is told to cancel. Events the engine repeats are dropped; chunks have the
// engine's offsets as their sequence, without a gap.
func (d *Dispatcher) RunEngine(ctx context.Context, permit *Permit, run EngineRun) Result {
	engine, ok := d.endpoints.Engine(permit.endpoint)
	if !ok {
		return notSent(ErrNoAdapter, true)
	}
	if err := cancelled(ctx); err != nil {
		return notSent(err, false)
	}
	if !permit.spend() {
		return notSent(ErrPermitUsed, false)
	}
	key := permit.key.String()
	c := newEngineCopy(engine, key, run, d.options)
	var startErr error
	err := c.attempt(ctx, func(ctx context.Context) (stream endpoint.Stream, err error) {
		stream, startErr = engine.Start(ctx, endpoint.EngineRequest{Key: key, Body: run.Body})
		return stream, startErr
	})
	// Only Start itself can say this; a later error means nothing of the kind.
	if errors.Is(startErr, endpoint.ErrNotDispatched) {
		return notSent(startErr, cancelled(ctx) == nil)
	}
	if err != nil {
		err = c.resume(ctx, err)
	}
	return c.finish(ctx, err)
}

// ResumeEngine reads the rest of the answer to a request that another life had
// dispatched to the engine, from the buffer's next sequence on. It dispatches
// nothing.
func (d *Dispatcher) ResumeEngine(ctx context.Context, id domain.EndpointID, key domain.RequestKey, run EngineRun) Result {
	engine, ok := d.endpoints.Engine(id)
	if !ok {
		return Result{End: endOf(ErrNoAdapter)}
	}
	c := newEngineCopy(engine, key.String(), run, d.options)
	return c.finish(ctx, c.resume(ctx, endpoint.ErrBroken))
}

// finish makes the result and frees the engine's place if the answer is not complete.
func (c *engineCopy) finish(ctx context.Context, err error) Result {
	c.use.Dispatched = true
	c.use.Total = time.Since(c.started)
	c.use.AnswerTokens = c.tokens
	if err == nil {
		c.use.Complete = true
		c.readUsage()
		return Result{Usage: c.use}
	}
	if !errors.Is(err, endpoint.ErrRefused) && !errors.Is(err, ErrOvertaken) {
		c.cancel(ctx)
	}
	end := endOf(err)
	c.use.Crashed = end.Code == answer.CodeBroken
	return Result{End: end, Usage: c.use}
}

// cancel tells the engine to stop, also when ctx has ended. A lost order costs
// the engine's time, nothing else.
func (c *engineCopy) cancel(ctx context.Context) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), c.options.CancelTimeout)
	defer done()
	_ = c.engine.Cancel(ctx, c.key)
}
