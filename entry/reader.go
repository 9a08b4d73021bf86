package entry

import (
	"context"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/scheduler"
)

// answerReader reads an answer for one connection. It distinguishes an interval
// without data, for which it returns an empty batch, from the end of the connection.
type answerReader struct {
	handle   *scheduler.Handle
	position answer.Position

	requestCtx   context.Context
	readCtx      context.Context
	cancel       context.CancelFunc
	timer        *time.Timer
	idleInterval time.Duration
}

func newAnswerReader(r *http.Request, handle *scheduler.Handle, position answer.Position, idleInterval time.Duration) *answerReader {
	a := &answerReader{handle: handle, position: position, requestCtx: r.Context(), idleInterval: idleInterval}
	a.resetReadContext()
	return a
}

// next returns the next batch, or an empty one after idleInterval without data.
func (a *answerReader) next() (answer.Batch, error) {
	if a.readCtx.Err() != nil {
		// The timer expired while the previous batch was being written.
		a.resetReadContext()
	}
	batch, err := a.handle.Read(a.readCtx, a.position)
	if err != nil && a.readCtx.Err() != nil && a.requestCtx.Err() == nil {
		return answer.Batch{}, nil
	}
	if err != nil {
		return answer.Batch{}, err
	}
	a.timer.Reset(a.idleInterval)
	a.position = a.position.Advance(batch)
	return batch, nil
}

// setIdleInterval changes how long next waits for data.
func (a *answerReader) setIdleInterval(interval time.Duration) {
	a.idleInterval = interval
	a.timer.Reset(interval)
}

func (a *answerReader) close() {
	a.timer.Stop()
	a.cancel()
}

func (a *answerReader) resetReadContext() {
	if a.cancel != nil {
		a.cancel()
	}
	a.readCtx, a.cancel = context.WithCancel(a.requestCtx)
	a.timer = time.AfterFunc(a.idleInterval, a.cancel)
}

// problemFromReadError converts an error from reading an answer into a problem.
func problemFromReadError(err error) *Problem {
	return problemFromEnd(endFromReadError(err))
}
