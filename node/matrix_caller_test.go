package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// attempt sends the request to a node once and records its outcome.
func (x *trial) attempt(k *call, n *runningNode) string {
	timeout := attemptTimeout
	if len(k.attemptedAt) == 0 && !x.longFirstTimeout {
		timeout = firstAttemptTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	w := &callerWriter{ResponseRecorder: httptest.NewRecorder(), key: k.key, gate: n.gate, ctx: ctx}
	k.attemptedAt = append(k.attemptedAt, n)
	done := make(chan struct{})
	x.attempts.Go(func() {
		defer close(done)
		n.echo.ServeHTTP(w, x.request(ctx, k))
	})
	select {
	case <-done:
		return x.record(k, w)
	case <-ctx.Done():
		// The caller has disconnected, so what the node still writes does not count.
		return x.record(k, &callerWriter{ResponseRecorder: httptest.NewRecorder()})
	}
}

func (x *trial) request(ctx context.Context, k *call) *http.Request {
	var body *hookedBody
	text := fmt.Sprintf(`{"model":"quote","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, k.prompt, trialTokens)
	body = &hookedBody{Reader: strings.NewReader(text), hook: func() {
		if k.key == x.key && x.step != nil && x.step.name == stepReceive {
			x.beginFault()
		}
	}}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", body)
	r.Header.Set("Authorization", "Bearer "+deployment.DemoKey(k.org))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", k.key)
	return r
}

// record counts the outcome of an attempt and checks it against the engines' logs.
func (x *trial) record(k *call, w *callerWriter) string {
	outcome := x.callerOutcome(k, w)
	runs := x.runsOf(k)
	x.mu.Lock()
	defer x.mu.Unlock()
	k.finalOutcome = outcome
	if k.firstOutcome == "" {
		k.firstOutcome = outcome
	}
	x.report.Attempts++
	switch outcome {
	case "answered":
		x.report.Answered++
		if runs != 1 {
			x.violations = append(x.violations, fmt.Sprintf("%s was answered but executed %d times", k.key, runs))
		}
	case string(domain.OutcomeNotRun):
		x.report.NotRun++
		if runs != 0 {
			x.violations = append(x.violations, fmt.Sprintf("%s was reported as not_run but was executed: %s", k.key, w.Body))
		}
	case string(domain.OutcomeRan):
		x.report.Ran++
	case string(domain.OutcomeUnknown):
		x.report.Unknown++
	default:
		x.report.Cut++
	}
	return outcome
}

// callerOutcome returns "answered", the outcome in the problem document, or "cut" if
// no complete response arrived.
func (x *trial) callerOutcome(k *call, w *callerWriter) string {
	if w.cut.Load() || w.Body.Len() == 0 {
		return "cut"
	}
	if w.Code != http.StatusOK {
		p := decodeProblem(x.t, w.ResponseRecorder)
		x.checkShed(k, string(p.Code), string(p.Outcome))
		return string(p.Outcome)
	}
	body := fmt.Sprintf(`{"model":"quote","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, k.prompt, trialTokens)
	want, err := engine.ExpectedAnswer([]byte(body))
	if err != nil {
		x.fail("%s: %v", k.key, err)
	}
	if got := content(x.t, w.ResponseRecorder); got != want.Text() {
		x.fail("%s got %q, want %q", k.key, got, want.Text())
	}
	return "answered"
}

// callerWriter is the connection to a caller. It breaks when the node crashes, and
// nothing is written to it while the node is paused.
type callerWriter struct {
	*httptest.ResponseRecorder
	key  string
	gate *gate
	ctx  context.Context
	cut  atomic.Bool
}

func (w *callerWriter) Write(data []byte) (int, error) {
	w.gate.observe(eventWrite, w.key, 0)
	if w.gate.pass(w.ctx) != nil {
		w.cut.Store(true)
		return 0, context.Canceled
	}
	return w.ResponseRecorder.Write(data)
}

// hookedBody is a request body that calls hook on the first read, which is the step
// "receive".
type hookedBody struct {
	*strings.Reader
	hook func()
	once sync.Once
}

func (b *hookedBody) Read(p []byte) (int, error) {
	b.once.Do(b.hook)
	return b.Reader.Read(p)
}
