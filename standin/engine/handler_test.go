package engine_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/standin/engine"
)

func doRequest(handler http.Handler, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Request-Key", "k")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String())
}

func TestHandler(t *testing.T) {
	e := newEngine(t, engine.Options{Models: []string{"m"}, KVTokens: 5000})
	const body = `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":3}`
	answer, err := engine.ExpectedAnswer([]byte(body))
	assert.NilError(t, err)
	steps := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/v1/chat/completions", body, 200, `"content":"` + answer.Text() + `"},"finish_reason":"length"}],"usage":{"prompt_tokens":2,`},
		{"POST", "/v1/chat/completions", `{}`, 400, "model is missing"},
		{"POST", "/v1/chat/completions", strings.Repeat(" ", 17<<20), 413, "too large"},
		{"POST", "/v1/chat/completions", strings.Replace(body, `"m"`, `"n"`, 1), 404, "model not loaded"},
		{"POST", "/v1/chat/completions", strings.Replace(body, "3}", "9000}", 1), 400, "KV cache"},
		{"GET", "/v1/streams/k?from=-1", "", 400, "whole number"},
		{"GET", "/v1/streams/other", "", 404, "not found"},
		{"DELETE", "/v1/streams/k", "", 204, ""},
		{"POST", "/v1/orders", `{"kind":"unknown"}`, 400, "bad order"},
		{"POST", "/v1/kv/import", `{"blocks":[1]}`, 400, "KV cache"},
		{"POST", "/standin/faults", `{"leaving":true}`, 200, `"leaving":true`},
		{"POST", "/standin/faults", `{"straggle":2}`, 200, `{"straggle":2,"pause":false,"refuse":false,"leaving":true`},
		{"POST", "/standin/faults", `{"straggle":"much"}`, 400, "straggle"},
		{"POST", "/standin/faults", `{"no_such_fault":1}`, 400, "no_such_fault"},
		{"GET", "/standin/faults", "", 200, `"straggle":2`},
		{"GET", "/standin/counts", "", 200, `"finished":1`},
		{"GET", "/standin/runs", "", 200, `"key":"k","model":"m","state":"finished"`},
		{"GET", "/standin/orders", "", 200, "[]"},
		{"GET", "/nowhere", "", 404, "Not Found"},
	}
	handler := engine.NewHandler(e)
	for _, step := range steps {
		status, got := doRequest(handler, step.method, step.path, step.body)
		assert.Equal(t, status, step.status, "%s %s: %s", step.method, step.path, got)
		assert.Assert(t, strings.Contains(got, step.want), "%s %s: %s", step.method, step.path, got)
	}
	assert.Equal(t, len(e.Runs()), 1)
}

// FuzzRequest checks that the engine handles any request body: a request that it
// accepts runs to its end with the answer that ExpectedAnswer predicts.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"text":"hi"}]}],"seed":7}`))
	f.Add([]byte(`{"model":"\u0000","messages":[{}],"answer_tokens":5,"max_completion_tokens":4}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[1]}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		answer, expectedErr := engine.ExpectedAnswer(body)
		e := engine.New(engine.Options{KVTokens: 10_000})
		defer e.Close()
		s, err := e.Start(t.Context(), requestWithBody(body))
		if err != nil {
			// A valid request may still be too large for the KV cache.
			assert.Assert(t, expectedErr != nil || len(answer.Tokens) > 9000 || len(body) > 3000, "%v", err)
			return
		}
		assert.NilError(t, expectedErr)
		text, err := readAll(t.Context(), s)
		assert.Assert(t, err == io.EOF, "%v", err)
		assert.Equal(t, text, answer.Text())
		assert.Assert(t, json.Valid(body))
	})
}
