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
	lastEventIDHeader = "Last-Event-ID"
	errorEventType    = "error"
	doneData          = "[DONE]"
	keepAliveComment  = ": waiting\n\n"
)

// eventStream writes an answer as server-sent events. The id of an event is its
// sequence number, with which a caller that reconnects resumes the stream.
type eventStream struct {
	response *echo.Response
	control  *http.ResponseController
	options  *Options
	buffer   bytes.Buffer
	started  bool
}

// streamEvents writes the answer until it ends or the caller disconnects. An error
// before anything is written is returned with its HTTP status. A later error is
// written as an event of type "error" with the problem document as data.
func (s *Server) streamEvents(c echo.Context, handle *scheduler.Handle, id requestIdentity, position answer.Position) error {
	idleInterval := s.options.KeepAliveInterval
	if id.generated {
		idleInterval = s.options.HeaderDelay
	}
	reader := newAnswerReader(c.Request(), handle, position, idleInterval)
	defer reader.close()
	stream := newEventStream(c, &s.options)
	for {
		batch, err := reader.next()
		if c.Request().Context().Err() != nil {
			return nil
		}
		if err != nil {
			end := endFromReadError(err)
			batch.End = &end
		}
		if batch.End != nil && !batch.End.Complete() {
			return stream.fail(batch.Chunks, problemFromEnd(*batch.End), id)
		}
		if stream.write(batch) != nil || batch.End != nil {
			return nil
		}
		reader.setIdleInterval(s.options.KeepAliveInterval)
	}
}

// resumePosition returns the position after the event in the Last-Event-ID header,
// or the start without that header.
func resumePosition(r *http.Request) (answer.Position, error) {
	text := r.Header.Get(lastEventIDHeader)
	if text == "" {
		return answer.Position{}, nil
	}
	last, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return answer.Position{}, invalidRequest(http.StatusBadRequest, "invalid_event_id", lastEventIDHeader, "%s must be the id of an event", lastEventIDHeader)
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

// write writes a batch with one flush, so that events that were available together
// are sent together and a new one is sent without delay. It writes a keep-alive
// comment for an empty batch.
func (e *eventStream) write(batch answer.Batch) error {
	e.buffer.Reset()
	e.appendChunks(batch.Chunks)
	if batch.End != nil {
		e.appendMessage(sse.Message{}, doneData)
	}
	if e.buffer.Len() == 0 {
		e.buffer.WriteString(keepAliveComment)
	}
	return e.flush()
}

// fail ends an incomplete stream. It returns the problem if nothing has been
// written and there are no chunks to write, and writes an error event otherwise.
func (e *eventStream) fail(chunks []answer.Chunk, problem *Problem, id requestIdentity) error {
	problem.Key = id.key.Client
	if !e.started && len(chunks) == 0 {
		return problem
	}
	e.buffer.Reset()
	e.appendChunks(chunks)
	e.appendMessage(sse.Message{Type: sse.Type(errorEventType)}, string(problem.encode()))
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
	// Writing to a bytes.Buffer can't fail.
	_, _ = message.WriteTo(&e.buffer)
}

// flush writes the buffer to the connection. If that takes longer than WriteTimeout,
// the connection fails, and the caller can reconnect for the rest.
func (e *eventStream) flush() error {
	if !e.started {
		e.start()
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(e.options.WriteTimeout))
	if _, err := e.response.Write(e.buffer.Bytes()); err != nil {
		return err
	}
	return e.control.Flush()
}

func (e *eventStream) start() {
	e.started = true
	header := e.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	e.response.WriteHeader(http.StatusOK)
}
