package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answered is the outcome of a requester's attempt.
type Answered struct {
	ID     string
	Status int
	// RetryAfter is when the node said to come back, zero if it did not.
	RetryAfter time.Duration
	Body       string
	Err        error
}

// Requester sends requests to nodes.
type Requester struct {
	client http.Client
	record *Record
}

// NewRequester returns a requester with its own channels.
func NewRequester(record *Record) *Requester {
	return &Requester{record: record, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// NewID returns the id of a new attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Call is what a requester sends.
type Call struct {
	Method, Host, Path, Key, Body string
	Deadline                      time.Duration
}

// Send sends the call to a node's address as a new attempt and waits for the answer.
func (r *Requester) Send(node string, c Call) Answered {
	a := Answered{ID: NewID()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	var body io.Reader
	if c.Body != "" {
		body = strings.NewReader(c.Body)
	}
	q, err := http.NewRequestWithContext(ctx, c.Method, "http://"+node+c.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	q.GetBody = nil // net/http must not send the request again
	q.Host = c.Host
	q.ContentLength = int64(len(c.Body))
	q.Header.Set("Request-Id", a.ID)
	q.Header.Set(wire.KeyField, c.Key)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	response, err := r.client.Do(q)
	if err != nil {
		a.Err = err
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.Status, a.Body, a.Err = response.StatusCode, string(data), err
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// String describes the outcome.
func (a Answered) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	if a.RetryAfter > 0 {
		return fmt.Sprintf("%d, Retry-After %v", a.Status, a.RetryAfter)
	}
	return strconv.Itoa(a.Status)
}

// Outcome is the status, or "no answer".
func (a Answered) Outcome() string {
	if a.Err != nil {
		return "no answer"
	}
	return strconv.Itoa(a.Status)
}
