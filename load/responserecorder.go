package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/entry"
)

// responseRecorder is the caller's side of a response. It records the time of each token.
type responseRecorder struct {
	now      func() time.Duration
	header   http.Header
	status   int
	unparsed []byte
	text     strings.Builder

	firstTokenAt, lastTokenAt time.Duration
	tokens                    int
	done                      bool
	problem                   *entry.Problem
	body                      []byte
	// onTokenGap, if set, is called with the time between two tokens.
	onTokenGap func(time.Duration)
}

func newResponseRecorder(now func() time.Duration, onTokenGap func(time.Duration)) *responseRecorder {
	return &responseRecorder{now: now, header: make(http.Header), onTokenGap: onTokenGap}
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Flush implements http.Flusher.
func (r *responseRecorder) Flush() {}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		r.body = append(r.body, data...)
		r.recordToken()
		return len(data), nil
	}
	r.unparsed = append(r.unparsed, data...)
	for {
		event, rest, found := bytes.Cut(r.unparsed, []byte("\n\n"))
		if !found {
			return len(data), nil
		}
		r.parseEvent(event)
		r.unparsed = rest
	}
}

// parseEvent handles one server-sent event. It supports only the forms that nodes write.
func (r *responseRecorder) parseEvent(event []byte) {
	_, data, found := bytes.Cut(event, []byte("data: "))
	switch {
	case !found:
	case string(data) == "[DONE]":
		r.done = true
	case bytes.Contains(event, []byte("event: error")):
		r.problem = new(entry.Problem)
		_ = json.Unmarshal(data, r.problem)
	default:
		r.parseChunk(data)
	}
}

func (r *responseRecorder) parseChunk(data []byte) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	if content := chunk.Choices[0].Delta.Content; content != "" {
		r.text.WriteString(content)
		r.recordToken()
	}
}

// recordToken records the time of a token, or of a chunk of the body of a service call.
func (r *responseRecorder) recordToken() {
	now := r.now()
	if r.tokens == 0 {
		r.firstTokenAt = now
	} else if r.onTokenGap != nil {
		r.onTokenGap(now - r.lastTokenAt)
	}
	r.lastTokenAt = now
	r.tokens++
}

// attempt returns the result of the attempt.
func (r *responseRecorder) attempt(sent time.Duration) Attempt {
	a := Attempt{Sent: sent, FirstTokenAt: r.firstTokenAt, Ended: r.now(), Status: r.status, Text: r.text.String()}
	if r.status >= http.StatusBadRequest && r.problem == nil {
		r.problem = new(entry.Problem)
		if json.Unmarshal(r.body, r.problem) != nil || r.problem.Outcome == "" {
			r.problem = nil
		}
	}
	if r.problem != nil {
		a.Outcome, a.Code, a.Detail = r.problem.Outcome, r.problem.Code, r.problem.Detail
		return a
	}
	a.Complete = r.done || r.body != nil
	return a
}
