package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/entry"
)

// recorder is the caller's end of an answer: it takes the time of each token.
type recorder struct {
	now    func() time.Duration
	header http.Header
	status int
	rest   []byte
	text   strings.Builder

	first, last time.Duration
	tokens      int
	done        bool
	problem     *entry.Problem
	body        []byte
	// gap is told of the time between two tokens.
	gap func(time.Duration)
}

func newRecorder(now func() time.Duration, gap func(time.Duration)) *recorder {
	return &recorder{now: now, header: make(http.Header), gap: gap}
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Flush implements http.Flusher.
func (r *recorder) Flush() {}

// Write implements http.ResponseWriter.
func (r *recorder) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		r.body = append(r.body, data...)
		r.note()
		return len(data), nil
	}
	r.rest = append(r.rest, data...)
	for {
		event, rest, found := bytes.Cut(r.rest, []byte("\n\n"))
		if !found {
			return len(data), nil
		}
		r.event(event)
		r.rest = rest
	}
}

// event takes in one server-sent event of the few shapes that nodes write.
func (r *recorder) event(event []byte) {
	_, data, found := bytes.Cut(event, []byte("data: "))
	switch {
	case !found:
	case string(data) == "[DONE]":
		r.done = true
	case bytes.Contains(event, []byte("event: error")):
		r.problem = new(entry.Problem)
		_ = json.Unmarshal(data, r.problem)
	default:
		r.token(data)
	}
}

func (r *recorder) token(data []byte) {
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
		r.note()
	}
}

// note takes the time of a piece of the answer.
func (r *recorder) note() {
	now := r.now()
	if r.tokens == 0 {
		r.first = now
	} else if r.gap != nil {
		r.gap(now - r.last)
	}
	r.last = now
	r.tokens++
}

// attempt sums the answer up.
func (r *recorder) attempt(sent time.Duration) Attempt {
	a := Attempt{Sent: sent, FirstTokenAt: r.first, Ended: r.now(), Status: r.status, Text: r.text.String()}
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
