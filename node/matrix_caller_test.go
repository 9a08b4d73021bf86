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

// attempt sends the key once and notes what the caller was told.
func (x *trial) attempt(k *call, n *runningNode) string {
	patience := callerPatience
	if len(k.lives) == 0 && !x.patient {
		patience = firstPatience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	w := &callerWriter{ResponseRecorder: httptest.NewRecorder(), key: k.key, gate: n.gate, ctx: ctx}
	k.lives = append(k.lives, n)
	done := make(chan struct{})
	x.serving.Go(func() {
		defer close(done)
		n.echo.ServeHTTP(w, x.request(ctx, k))
	})
	select {
	case <-done:
		return x.note(k, w)
	case <-ctx.Done():
		// Whatever the node still writes, its caller has gone.
		return x.note(k, &callerWriter{ResponseRecorder: httptest.NewRecorder()})
	}
}

func (x *trial) request(ctx context.Context, k *call) *http.Request {
	var body *hookedBody
	text := fmt.Sprintf(`{"model":"quote","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, k.prompt, trialTokens)
	body = &hookedBody{Reader: strings.NewReader(text), hook: func() {
		if k.key == x.key && x.step != nil && x.step.name == stepReceive {
			x.fire()
		}
	}}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", body)
	r.Header.Set("Authorization", "Bearer "+deployment.DemoKey(k.org))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", k.key)
	return r
}

// note counts what the caller got and checks it.
func (x *trial) note(k *call, w *callerWriter) string {
	told := x.told(k, w)
	ran := x.runsOf(k)
	x.mu.Lock()
	defer x.mu.Unlock()
	k.final = told
	if k.first == "" {
		k.first = told
	}
	x.report.Attempts++
	switch told {
	case "answered":
		x.report.Answered++
		if ran != 1 {
			x.broken = append(x.broken, fmt.Sprintf("%s was answered and run %d times", k.key, ran))
		}
	case string(domain.OutcomeNotRun):
		x.report.NotRun++
		if ran != 0 {
			x.broken = append(x.broken, fmt.Sprintf("%s was told not_run and had been run: %s", k.key, w.Body))
		}
	case string(domain.OutcomeRan):
		x.report.Ran++
	case string(domain.OutcomeUnknown):
		x.report.Unknown++
	default:
		x.report.Cut++
	}
	return told
}

// told returns "answered", an outcome, or "cut" if nothing whole came.
func (x *trial) told(k *call, w *callerWriter) string {
	if w.cut.Load() || w.Body.Len() == 0 {
		return "cut"
	}
	if w.Code != http.StatusOK {
		p := problemOf(x.t, w.ResponseRecorder)
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

// callerWriter is the connection to a caller: it ends with the node's life, and
// nothing comes over it while the node is paused.
type callerWriter struct {
	*httptest.ResponseRecorder
	key  string
	gate *gate
	ctx  context.Context
	cut  atomic.Bool
}

func (w *callerWriter) Write(data []byte) (int, error) {
	w.gate.note(eventWrite, w.key, 0)
	if w.gate.pass(w.ctx) != nil {
		w.cut.Store(true)
		return 0, context.Canceled
	}
	return w.ResponseRecorder.Write(data)
}

// hookedBody is a request's body whose first reading is the step "receive".
type hookedBody struct {
	*strings.Reader
	hook func()
	once sync.Once
}

func (b *hookedBody) Read(p []byte) (int, error) {
	b.once.Do(b.hook)
	return b.Reader.Read(p)
}
