package entry

import (
	"context"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/scheduler"
)

// answerReader reads an answer for one connection and tells silence from the
// connection's end.
type answerReader struct {
	handle   *scheduler.Handle
	position answer.Position

	request context.Context
	wait    context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	silence time.Duration
}

func newAnswerReader(r *http.Request, handle *scheduler.Handle, position answer.Position, silence time.Duration) *answerReader {
	a := &answerReader{handle: handle, position: position, request: r.Context(), silence: silence}
	a.arm()
	return a
}

// next returns the next batch, an empty one after a silence.
func (a *answerReader) next() (answer.Batch, error) {
	if a.wait.Err() != nil {
		// The time passed while the last batch was being written.
		a.arm()
	}
	batch, err := a.handle.Read(a.wait, a.position)
	if err != nil && a.wait.Err() != nil && a.request.Err() == nil {
		return answer.Batch{}, nil
	}
	if err != nil {
		return answer.Batch{}, err
	}
	a.timer.Reset(a.silence)
	a.position = a.position.Advance(batch)
	return batch, nil
}

// setSilence changes how long next waits.
func (a *answerReader) setSilence(silence time.Duration) {
	a.silence = silence
	a.timer.Reset(silence)
}

func (a *answerReader) close() {
	a.timer.Stop()
	a.cancel()
}

func (a *answerReader) arm() {
	if a.cancel != nil {
		a.cancel()
	}
	a.wait, a.cancel = context.WithCancel(a.request)
	a.timer = time.AfterFunc(a.silence, a.cancel)
}

// readProblem translates an error of reading an answer.
func readProblem(err error) *Problem {
	return endProblem(readEnd(err))
}
