package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/tmaxmax/go-sse"

	"hawthornrill.example/hawthornrill/endpoint"
)

// writeEvents sends a stream as server-sent events; an event's id is its offset.
// If the stream fails, the connection is aborted, so that the client can't mistake
// the answer for complete.
func writeEvents(c echo.Context, stream *reader) error {
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	for {
		err := writeReady(c.Request().Context(), c.Response(), stream)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		c.Response().Flush()
	}
}

// writeReady waits for an event, then writes it and all others available.
func writeReady(ctx context.Context, w io.Writer, stream *reader) error {
	event, err := stream.Next(ctx)
	if err != nil {
		return err
	}
	for ok := true; ok; {
		if err := writeEvent(w, event); err != nil {
			return err
		}
		// The error can be ignored: the next call of Next returns it again.
		event, ok, _ = stream.poll()
	}
	return nil
}

func writeEvent(w io.Writer, event endpoint.Event) error {
	message := sse.Message{ID: sse.ID(strconv.FormatUint(event.Offset, 10))}
	message.AppendData(string(event.Data))
	_, err := message.WriteTo(w)
	return err
}

// completion is the response to a request without "stream".
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (h *handler) writeCompletion(c echo.Context, r request, stream *reader) error {
	for {
		_, err := stream.Next(c.Request().Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	answer := r.answer(r.chain().Sum())
	return c.JSON(http.StatusOK, completion{
		ID:     "chatcmpl-" + stream.stream.key,
		Object: "chat.completion",
		Model:  r.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: strings.TrimSpace(answer.Text())},
			FinishReason: answer.FinishReason,
		}},
		Usage: h.engine.usage(stream.stream),
	})
}
