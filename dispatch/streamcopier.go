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

// doneMarker is the data of the last event of a model's stream. It is not part of the answer: entry
// writes it when the answer is complete.
var doneMarker = []byte("[DONE]")

// streamCopier copies the stream of one engine into one buffer.
type streamCopier struct {
	engine  endpoint.Engine
	key     string
	buffer  *answer.Buffer
	options Options

	next      uint64
	progress  func(int)
	started   time.Time
	tokens    int
	lastEvent []byte
	usage     capacity.Result

	brokenSince time.Time
	retryDelays *backoff.ExponentialBackOff
}

func newStreamCopier(engine endpoint.Engine, key string, run EngineRun, options Options) *streamCopier {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = options.ResumeInitialDelay
	delays.MaxInterval = options.ResumeMaxDelay
	return &streamCopier{
		engine:      engine,
		key:         key,
		buffer:      run.Buffer,
		next:        run.Buffer.Next(),
		options:     options,
		progress:    run.Progress,
		started:     time.Now(),
		retryDelays: delays,
	}
}

// resume continues after the stream broke with err, until the answer is complete (nil) or can't be
// completed.
func (c *streamCopier) resume(ctx context.Context, err error) error {
	for err != nil {
		if err := c.waitBeforeResume(ctx, err); err != nil {
			return err
		}
		err = c.attempt(ctx, func(ctx context.Context) (endpoint.Stream, error) {
			return c.engine.Resume(ctx, c.key, c.next)
		})
	}
	return nil
}

// waitBeforeResume waits for the backoff delay before the next attempt, or returns the reason not
// to make one.
func (c *streamCopier) waitBeforeResume(ctx context.Context, err error) error {
	if cause := cancelCause(ctx); cause != nil {
		return cause
	}
	if c.brokenSince.IsZero() {
		c.brokenSince = time.Now()
	}
	if c.isFinal(err, time.Since(c.brokenSince)) {
		return err
	}
	timer := time.NewTimer(c.retryDelays.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// isFinal reports whether another attempt is pointless.
func (c *streamCopier) isFinal(err error, brokenFor time.Duration) bool {
	switch {
	case errors.Is(err, endpoint.ErrRefused):
		return true
	case errors.Is(err, answer.ErrEnded):
		return true
	case errors.Is(err, endpoint.ErrStreamNotFound):
		return c.next > 0 || brokenFor >= c.options.NotFoundWindow
	default:
		return brokenFor >= c.options.ResumeWindow
	}
}

// attempt opens a stream and appends its events until it ends. It returns nil after the last event
// of the answer.
func (c *streamCopier) attempt(ctx context.Context, open func(context.Context) (endpoint.Stream, error)) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.options.StallTimeout, func() { cancel(errStalled) })
	defer watch.stop()
	stream, err := open(streamCtx)
	if err != nil {
		return streamError(ctx, streamCtx, err)
	}
	defer stream.Close()
	err = c.copyEvents(ctx, streamCtx, stream, watch)
	if errors.Is(err, errStalled) {
		// The engine responded before it stalled, so it may be slow rather than unreachable.
		c.brokenSince = time.Time{}
	}
	return err
}

// copyEvents appends events to the buffer. The watchdog runs only while waiting for the engine, not
// while a slow reader blocks the buffer.
func (c *streamCopier) copyEvents(ctx, streamCtx context.Context, stream endpoint.Stream, watch *watchdog) error {
	for {
		event, err := stream.Next(streamCtx)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return streamError(ctx, streamCtx, err)
		}
		watch.stop()
		done, err := c.appendEvent(ctx, event)
		if done || err != nil {
			return err
		}
		watch.start()
	}
}

// streamError returns the reason why a stream ended: cancellation of the run, a stall, or err.
func streamError(ctx, streamCtx context.Context, err error) error {
	if cause := cancelCause(ctx); cause != nil {
		return cause
	}
	if context.Cause(streamCtx) == errStalled {
		return errStalled
	}
	return err
}

// appendEvent appends one event; done is true for the end marker.
func (c *streamCopier) appendEvent(ctx context.Context, event endpoint.Event) (done bool, err error) {
	if event.Offset < c.next {
		return false, nil
	}
	if event.Offset == c.next && bytes.Equal(event.Data, doneMarker) {
		return true, nil
	}
	// Append returns ErrGap if events are missing.
	if err := c.buffer.Append(ctx, event.Offset, event.Data); err != nil {
		return false, err
	}
	c.next++
	c.recordEvent(event.Data)
	return false, nil
}

func (c *streamCopier) recordEvent(data []byte) {
	c.lastEvent = data
	c.tokens++
	if c.tokens == 1 {
		c.usage.FirstToken = time.Since(c.started)
	}
	if !c.brokenSince.IsZero() {
		c.brokenSince = time.Time{}
		c.retryDelays.Reset()
	}
	if c.progress != nil && c.tokens%c.options.ProgressEvery == 0 {
		c.progress(c.tokens)
	}
}
