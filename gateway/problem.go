package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	outcomeNotRun  = domain.OutcomeNotRun
	outcomeUnknown = domain.OutcomeUnknown
)

// problem is a final answer of the node's own, an RFC 9457 document.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Outcome tells whether the request ran; only not_run is a promise.
	Outcome    domain.Outcome `json:"outcome,omitempty"`
	RetryAfter time.Duration  `json:"-"`
	// Cause is for the log.
	Cause error `json:"-"`
}

func notReady(title string) *problem {
	return &problem{Status: http.StatusServiceUnavailable, Title: title, Outcome: outcomeNotRun, RetryAfter: staleRetry}
}

func (p *problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // a caller that is gone reads nothing
}
