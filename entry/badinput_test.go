package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
	"hawthornrill.example/hawthornrill/session"
)

func TestBadInput(t *testing.T) {
	const chat = "/v1/chat/completions"
	d := newDeployment(t, schedulertest.Script{Tokens: 3}, scheduler.Options{}, entry.Options{MaxBodyBytes: 8000, MaxServiceBodyBytes: 1000})
	defer d.close()
	foreign, forged, expired := invalidSessionTokens(t, d.sessions)
	message := func(text string) string {
		return `{"model":"m","messages":[{"role":"user","content":"` + text + `"}]}`
	}
	tests := []struct {
		name    string
		request *http.Request
		status  int
		code    string
		field   string
		detail  string
	}{
		{"malformed JSON", newRequest("POST", chat, `{"model":"m",,}`), 400, "invalid_json", "body", "byte 14"},
		{"truncated JSON", newRequest("POST", chat, `{"model":"m"`), 400, "invalid_json", "body", "byte 12"},
		{"trailing JSON", newRequest("POST", chat, message("a")+"{}"), 400, "invalid_json", "body", "byte 57"},
		{"empty body", newRequest("POST", chat, ``), 400, "invalid_json", "body", ""},
		{"not an object", newRequest("POST", chat, `[]`), 400, "invalid_body", "body", "array"},
		{"null", newRequest("POST", chat, `null`), 400, "invalid_body", "model", ""},
		{"wrong type", newRequest("POST", chat, `{"model":"m","messages":{}}`), 400, "invalid_body", "messages", "object"},
		{"wrong type in message", newRequest("POST", chat, `{"model":"m","messages":[{"role":1}]}`), 400, "invalid_body", "messages.role", "number"},
		{"model in other case", newRequest("POST", chat, `{"Model":"m","messages":[{"role":"user"}]}`), 400, "invalid_body", "model", ""},
		{"no model", newRequest("POST", chat, `{"messages":[{"role":"user"}]}`), 400, "invalid_body", "model", ""},
		{"no messages", newRequest("POST", chat, `{"model":"m"}`), 400, "invalid_body", "messages", ""},
		{"no role", newRequest("POST", chat, `{"model":"m","messages":[{}]}`), 400, "invalid_body", "messages", "message 0"},
		{"max_tokens negative", newRequest("POST", chat, `{"model":"m","max_tokens":-1,"messages":[{"role":"user"}]}`), 400, "invalid_body", "max_tokens", ""},
		{"answer too long", newRequest("POST", chat, `{"model":"m","max_tokens":101,"messages":[{"role":"user"}]}`), 400, "answer_too_long", "max_tokens", "100"},
		{"prompt too long", newRequest("POST", chat, message(strings.Repeat("word ", 1000))), 400, "prompt_too_long", "messages", "1000"},
		{"body too large", newRequest("POST", chat, message(strings.Repeat("x", 9000))), 413, "body_too_large", "body", "8000"},
		{"body too large, no length", withoutLength(newRequest("POST", chat, message(strings.Repeat("x", 9000)))), 413, "body_too_large", "body", "8000"},
		{"unknown model", newRequest("POST", chat, strings.Replace(chatBody, `"m"`, `"x"`, 1)), 404, "unknown_model", "model", `"x"`},
		{"no API key", newRequest("POST", chat, chatBody, "Authorization", ""), 401, "unauthorized", "Authorization", ""},
		{"wrong API key", newRequest("POST", chat, chatBody, "Authorization", "Bearer nonsense"), 401, "unauthorized", "Authorization", ""},
		{"key too long", newRequest("POST", chat, chatBody, "Idempotency-Key", strings.Repeat("k", 201)), 400, "invalid_key", "Idempotency-Key", "200"},
		{"key with space", newRequest("POST", chat, chatBody, "Idempotency-Key", "a b"), 400, "invalid_key", "Idempotency-Key", ""},
		{"key not ASCII", newRequest("POST", chat, chatBody, "Idempotency-Key", "caffè"), 400, "invalid_key", "Idempotency-Key", ""},
		{"timeout not a number", newRequest("POST", chat, chatBody, "Request-Timeout", "soon"), 400, "invalid_timeout", "Request-Timeout", ""},
		{"timeout NaN", newRequest("POST", chat, chatBody, "Request-Timeout", "NaN"), 400, "invalid_timeout", "Request-Timeout", ""},
		{"timeout too long", newRequest("POST", chat, chatBody, "Request-Timeout", "3601"), 400, "invalid_timeout", "Request-Timeout", "3600"},
		{"invalid event id", newRequest("POST", chat, chatBody, "Last-Event-ID", "x"), 400, "invalid_event_id", "Last-Event-ID", ""},
		{"session malformed", newRequest("POST", chat, chatBody, session.Header, "nonsense"), 400, "invalid_session", session.Header, ""},
		{"session signed with another secret", newRequest("POST", chat, chatBody, session.Header, forged), 403, "foreign_session", session.Header, ""},
		{"session of another organisation", newRequest("POST", chat, chatBody, session.Header, foreign), 403, "foreign_session", session.Header, ""},
		{"session expired", newRequest("POST", chat, chatBody, session.Header, expired), 403, "stale_session", session.Header, "expired"},
		{"unknown service", newRequest("GET", "/services/none/x", ""), 404, "unknown_service", "path", ""},
		{"service call too large", newRequest("POST", "/services/jobs/x", strings.Repeat("x", 1001)), 413, "body_too_large", "body", "1000"},
		{"no such path", newRequest("GET", "/v2", ""), 404, "http_404", "", ""},
		{"no such method", newRequest("PUT", chat, ""), 405, "http_405", "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := d.do("a", test.request)
			assert.Equal(t, w.Code, test.status, w.Body)
			assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
			var p entry.Problem
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
			assert.Equal(t, p.Status, test.status)
			assert.Equal(t, p.Code, test.code)
			assert.Equal(t, p.Field, test.field)
			assert.Equal(t, p.Outcome, domain.OutcomeNotRun)
			assert.Assert(t, strings.Contains(p.Detail, test.detail), p.Detail)
		})
	}
	assert.Equal(t, len(d.engine.Started()), 0)
	assert.Equal(t, len(d.capacity.Requests()), 0)
}

// withoutLength marks the length of a request's body as unknown.
func withoutLength(r *http.Request) *http.Request {
	r.ContentLength = -1
	return r
}

// invalidSessionTokens returns a token of another organisation, a token signed with
// another secret and an expired token.
func invalidSessionTokens(t *testing.T, sessions *session.Authority) (foreign, forged, expired string) {
	t.Helper()
	otherAuthority, err := session.NewAuthority([][]byte{[]byte(strings.Repeat("x", 32))}, time.Hour)
	assert.NilError(t, err)
	issue := func(a *session.Authority, organisation domain.OrganisationID, now time.Time) string {
		_, token, err := a.Issue("palermo", organisation, now)
		assert.NilError(t, err)
		return token
	}
	return issue(sessions, "pryce", time.Now()), issue(otherAuthority, "cucine", time.Now()), issue(sessions, "cucine", time.Now().Add(-24*time.Hour))
}

// A refusal that depends on the time or the configuration must not report the
// outcome not_run for a key under which a request was run before.
func TestRefusalAfterRunHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, schedulertest.Script{Tokens: 3}, scheduler.Options{}, entry.Options{})
		defer d.close()
		_, token, err := d.sessions.Issue("palermo", "cucine", time.Now())
		assert.NilError(t, err)
		chat := func(headers ...string) *http.Request {
			return newRequest("POST", "/v1/chat/completions", chatBody, append(headers, "Idempotency-Key", "k")...)
		}
		assert.Equal(t, d.do("a", chat(session.Header, token)).Code, 200)
		assert.Equal(t, d.do("a", chat()).Code, 200)
		time.Sleep(2 * time.Hour)
		without := *d.view.Current()
		without.Models = nil
		d.view.Set(&without)
		for _, request := range []*http.Request{chat(session.Header, token), chat()} {
			w := d.do("a", request)
			assert.Assert(t, strings.Contains(w.Body.String(), `"outcome":"unknown"`), w.Body)
		}
	})
}

func TestProblemFromEnd(t *testing.T) {
	refusal := func(err error) func(*deployment) {
		return func(d *deployment) {
			d.capacity.SetError(&capacity.Refusal{Err: err, RetryAfter: 1500 * time.Millisecond})
		}
	}
	tests := map[string]struct {
		script  schedulertest.Script
		fault   func(*deployment)
		status  int
		retry   string
		outcome domain.Outcome
		code    answer.Code
	}{
		"shed":               {fault: refusal(capacity.ErrShed), status: 503, retry: "2", outcome: domain.OutcomeNotRun, code: answer.CodeShed},
		"quarantined":        {fault: refusal(capacity.ErrQuarantined), status: 422, retry: "2", outcome: domain.OutcomeNotRun, code: answer.CodeQuarantined},
		"engine disconnects": {script: schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{0}, ForgetOnDisconnect: true}, status: 502, outcome: domain.OutcomeRan, code: answer.CodeBroken},
		"home unreachable": {fault: func(d *deployment) {
			d.home.InjectFault(schedulertest.OpClaim, schedulertest.Fault{Err: ledger.ErrUnknown})
		}, status: 503, retry: "1", outcome: domain.OutcomeUnknown, code: answer.CodeHistoryUnknown},
	}
	for name, test := range tests {
		for _, stream := range []string{"true", "false"} {
			t.Run(name+" "+stream, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, test.script, scheduler.Options{}, entry.Options{})
					defer d.close()
					if test.fault != nil {
						test.fault(d)
					}
					body := strings.Replace(chatBody, "true", stream, 1)
					w := d.do("a", newRequest("POST", "/v1/chat/completions", body, "Idempotency-Key", "k"))
					var p entry.Problem
					assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p), w.Body)
					assert.Equal(t, w.Code, test.status)
					assert.Equal(t, w.Header().Get("Retry-After"), test.retry)
					assert.Equal(t, w.Header().Get("Idempotency-Key"), "k")
					assert.Equal(t, p.Outcome, test.outcome)
					assert.Equal(t, p.Code, string(test.code))
					assert.Equal(t, p.Key, "k")
				})
			})
		}
	}
}
