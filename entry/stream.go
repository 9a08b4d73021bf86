package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/tmaxmax/go-sse"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/scheduler"
)

const (
	lastEventID = "Last-Event-ID"
	eventError  = "error"
	doneData    = "[DONE]"
	keepAlive   = ": waiting\n\n"
)

// eventStream writes an answer as server-sent events. The id of an event is its
// sequence, by which a caller that reconnects goes on.
type eventStream struct {
	response *echo.Response
	control  *http.ResponseController
	options  *Options
	out      bytes.Buffer
	begun    bool
}

// streamEvents writes the answer until it ends or the caller is gone. Until the
// first event an error still has its HTTP status; after that it is an event of
// type "error" with the problem document as data.
func (s *Server) streamEvents(c echo.Context, handle *scheduler.Handle, id identity, position answer.Position) error {
	silence := s.options.KeepAliveInterval
	if id.minted {
		silence = s.options.HeaderDelay
	}
	reader := newAnswerReader(c.Request(), handle, position, silence)
	defer reader.close()
	stream := newEventStream(c, &s.options)
	for {
		batch, err := reader.next()
		if c.Request().Context().Err() != nil {
			return nil
		}
		if err != nil {
			end := readEnd(err)
			batch.End = &end
		}
		if batch.End != nil && !batch.End.Complete() {
			return stream.fail(batch.Chunks, endProblem(*batch.End), id)
		}
		if stream.write(batch) != nil || batch.End != nil {
			return nil
		}
		reader.setSilence(s.options.KeepAliveInterval)
	}
}

// resumePosition returns where a caller that reconnects goes on.
func resumePosition(r *http.Request) (answer.Position, error) {
	text := r.Header.Get(lastEventID)
	if text == "" {
		return answer.Position{}, nil
	}
	last, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return answer.Position{}, invalid(http.StatusBadRequest, "invalid_event_id", lastEventID, "%s must be the id of an event", lastEventID)
	}
	return answer.Position{From: last + 1}, nil
}

func newEventStream(c echo.Context, options *Options) *eventStream {
	return &eventStream{
		response: c.Response(),
		control:  http.NewResponseController(c.Response()),
		options:  options,
	}
}

// write sends what a batch has in one piece: events that were there already go
// out together, each new one at once.
func (e *eventStream) write(batch answer.Batch) error {
	e.out.Reset()
	e.appendChunks(batch.Chunks)
	if batch.End != nil {
		e.appendMessage(sse.Message{}, doneData)
	}
	if e.out.Len() == 0 {
		e.out.WriteString(keepAlive)
	}
	return e.flush()
}

// fail ends a stream that can't be completed.
func (e *eventStream) fail(chunks []answer.Chunk, problem *Problem, id identity) error {
	problem.Key = id.key.Client
	if !e.begun && len(chunks) == 0 {
		return problem
	}
	e.out.Reset()
	e.appendChunks(chunks)
	e.appendMessage(sse.Message{Type: sse.Type(eventError)}, string(problem.encode()))
	_ = e.flush()
	return nil
}

func (e *eventStream) appendChunks(chunks []answer.Chunk) {
	for _, chunk := range chunks {
		e.appendMessage(sse.Message{ID: sse.ID(strconv.FormatUint(chunk.Sequence, 10))}, string(chunk.Data))
	}
}

func (e *eventStream) appendMessage(message sse.Message, data string) {
	message.AppendData(data)
	// Writing to a buffer does not fail.
	_, _ = message.WriteTo(&e.out)
}

// flush sends the buffer. A caller that does not accept it in time is cut off
// and can come back for the rest.
func (e *eventStream) flush() error {
	if !e.begun {
		e.begin()
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(e.options.WriteTimeout))
	if _, err := e.response.Write(e.out.Bytes()); err != nil {
		return err
	}
	return e.control.Flush()
}

func (e *eventStream) begin() {
	e.begun = true
	header := e.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	e.response.WriteHeader(http.StatusOK)
}
