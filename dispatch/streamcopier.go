package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint"
)

// doneMarker is the data of the event with which model streams end. It is not
// part of the answer: entry writes it when the answer is complete.
var doneMarker = []byte("[DONE]")

// engineCopy copies one engine's stream into one buffer.
type engineCopy struct {
	engine  endpoint.Engine
	key     string
	buffer  *answer.Buffer
	options Options

	next     uint64
	progress func(int)
	started  time.Time
	tokens   int
	last     []byte
	use      capacity.Result

	brokenSince time.Time
	pauses      *backoff.ExponentialBackOff
}

func newEngineCopy(engine endpoint.Engine, key string, run EngineRun, options Options) *engineCopy {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = options.ResumeInitialDelay
	pauses.MaxInterval = options.ResumeMaxDelay
	return &engineCopy{
		engine:   engine,
		key:      key,
		buffer:   run.Buffer,
		next:     run.Buffer.Next(),
		options:  options,
		progress: run.Progress,
		started:  time.Now(),
		pauses:   pauses,
	}
}

// resume continues after the stream broke with err, until the answer is
// complete (nil) or can't be.
func (c *engineCopy) resume(ctx context.Context, err error) error {
	for err != nil {
		if err := c.pause(ctx, err); err != nil {
			return err
		}
		err = c.attempt(ctx, func(ctx context.Context) (endpoint.Stream, error) {
			return c.engine.Resume(ctx, c.key, c.next)
		})
	}
	return nil
}

// pause waits before the next try, or returns why there will be none.
func (c *engineCopy) pause(ctx context.Context, err error) error {
	if cause := cancelled(ctx); cause != nil {
		return cause
	}
	if c.brokenSince.IsZero() {
		c.brokenSince = time.Now()
	}
	if c.hopeless(err, time.Since(c.brokenSince)) {
		return err
	}
	timer := time.NewTimer(c.pauses.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// hopeless tells whether another try can't help.
func (c *engineCopy) hopeless(err error, broken time.Duration) bool {
	switch {
	case errors.Is(err, endpoint.ErrRefused):
		return true
	case errors.Is(err, answer.ErrEnded):
		return true
	case errors.Is(err, endpoint.ErrStreamNotFound):
		return c.next > 0 || broken >= c.options.NotFoundWindow
	default:
		return broken >= c.options.ResumeWindow
	}
}

// attempt opens a stream and appends its events until it ends. It returns nil
// after the last event of the answer.
func (c *engineCopy) attempt(ctx context.Context, open func(context.Context) (endpoint.Stream, error)) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.options.StallTimeout, func() { cancel(errStalled) })
	defer watch.stop()
	stream, err := open(streamCtx)
	if err != nil {
		return brokenBy(ctx, streamCtx, err)
	}
	defer stream.Close()
	err = c.copy(ctx, streamCtx, stream, watch)
	if errors.Is(err, errStalled) {
		// The engine had answered before it fell silent: it may be slow, not gone.
		c.brokenSince = time.Time{}
	}
	return err
}

// copy appends events. The watchdog runs only while the engine is waited for,
// not while a slow reader is.
func (c *engineCopy) copy(ctx, streamCtx context.Context, stream endpoint.Stream, watch *watchdog) error {
	for {
		event, err := stream.Next(streamCtx)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return brokenBy(ctx, streamCtx, err)
		}
		watch.stop()
		done, err := c.accept(ctx, event)
		if done || err != nil {
			return err
		}
		watch.start()
	}
}

// brokenBy returns why a stream ended: the run's end, a stall, or its own error.
func brokenBy(ctx, streamCtx context.Context, err error) error {
	if cause := cancelled(ctx); cause != nil {
		return cause
	}
	if context.Cause(streamCtx) == errStalled {
		return errStalled
	}
	return err
}

// accept appends one event; done is true for the end marker.
func (c *engineCopy) accept(ctx context.Context, event endpoint.Event) (done bool, err error) {
	if event.Offset < c.next {
		return false, nil
	}
	if event.Offset == c.next && bytes.Equal(event.Data, doneMarker) {
		return true, nil
	}
	// The buffer refuses a gap.
	if err := c.buffer.Append(ctx, event.Offset, event.Data); err != nil {
		return false, err
	}
	c.next++
	c.count(event.Data)
	return false, nil
}

func (c *engineCopy) count(data []byte) {
	c.last = data
	c.tokens++
	if c.tokens == 1 {
		c.use.FirstToken = time.Since(c.started)
	}
	if !c.brokenSince.IsZero() {
		c.brokenSince = time.Time{}
		c.pauses.Reset()
	}
	if c.progress != nil && c.tokens%c.options.ProgressEvery == 0 {
		c.progress(c.tokens)
	}
}
