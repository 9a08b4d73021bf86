package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
	"hawthornrill.example/hawthornrill/session"
)

const chatPath = "/v1/chat/completions"

// connection is an http.ResponseWriter whose writes a test can receive or block.
type connection struct {
	header http.Header
	status int
	// writes receives what is written. A write blocks while it is full.
	writes chan string
}

func (c *connection) Header() http.Header  { return c.header }
func (c *connection) WriteHeader(code int) { c.status = code }
func (c *connection) Flush()               {}
func (c *connection) Write(p []byte) (int, error) {
	c.writes <- string(p)
	return len(p), nil
}

// serve handles a request in the background. The function that it returns
// disconnects the caller.
func (d *deployment) serve(name string, r *http.Request, buffered int) (*connection, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	c := &connection{header: make(http.Header), writes: make(chan string, buffered)}
	go func() {
		defer close(c.writes)
		d.nodes[nodeID(name)].handler.ServeHTTP(c, r.WithContext(ctx))
	}()
	return c, cancel
}

func TestReconnectWithLastEventID(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, schedulertest.Script{Tokens: 10, Interval: time.Second}, scheduler.Options{}, entry.Options{})
				defer d.close()
				_, token, err := d.sessions.Issue("palermo", "cucine", time.Now())
				assert.NilError(t, err)
				headers := []string{"Idempotency-Key", "k", session.Header, token}
				first, disconnect := d.serve("a", newRequest("POST", chatPath, chatBody, headers...), 100)
				time.Sleep(3500 * time.Millisecond)
				disconnect()
				synctest.Wait()
				assert.Equal(t, len(first.writes), 3)
				again := newRequest("POST", chatPath, chatBody, append(headers, "Last-Event-ID", "2")...)
				if method == "GET" {
					again = newRequest("GET", "/v1/requests/k", "", append(headers, "Last-Event-ID", "2", "Accept", "text/event-stream")...)
				}
				w := d.do("b", again)
				key := keyOf("k")
				verified, err := d.sessions.Verify(token, "cucine", time.Now())
				assert.NilError(t, err)
				key.Session = verified.ID
				assert.Equal(t, w.Body.String(), expectedStream(key, 3, 10))
				assert.Equal(t, len(d.engine.Started()), 1)
			})
		})
	}
}

func TestGeneratedKeyIsSentEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, schedulertest.Script{Tokens: 3, Interval: 10 * time.Second}, scheduler.Options{}, entry.Options{})
		defer d.close()
		c, disconnect := d.serve("a", newRequest("POST", chatPath, chatBody), 100)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, c.status, http.StatusOK)
		key := c.header.Get("Idempotency-Key")
		assert.Assert(t, strings.HasPrefix(key, "hr1."), key)
		disconnect()
		synctest.Wait()
		w := d.do("b", newRequest("POST", chatPath, chatBody, "Idempotency-Key", key))
		assert.Assert(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"), w.Body)
		assert.Equal(t, strings.Count(w.Body.String(), "id: "), 3)
		assert.Equal(t, len(d.engine.Started()), 1)
	})
}

func TestErrorAfterFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, schedulertest.Script{Tokens: 9, Interval: time.Second, DisconnectAt: []uint64{2}, ForgetOnDisconnect: true}, scheduler.Options{}, entry.Options{})
		defer d.close()
		w := d.do("a", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "k"))
		body := w.Body.String()
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Assert(t, strings.Contains(body, "event: error\ndata: {"), body)
		assert.Assert(t, strings.Contains(body, `"outcome":"ran"`), body)
		assert.Assert(t, !strings.Contains(body, "[DONE]"), body)
	})
}

func TestCompletionWithoutStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, schedulertest.Script{Tokens: 3}, scheduler.Options{}, entry.Options{})
		defer d.close()
		w := d.do("a", newRequest("POST", chatPath, strings.Replace(chatBody, "true", "false", 1), "Idempotency-Key", "k"))
		name := keyOf("k").String()
		message := `{"index":0,"message":{"role":"assistant","content":"` + name + `/0;` + name + `/1;` + name + `/2;"},"finish_reason":null}`
		want := `{"id":"chat","object":"chat.completion","model":"m","choices":[` + message + `]}`
		assert.Equal(t, strings.TrimSpace(w.Body.String()), want)
		// The same answer as a stream, and from the state of the request.
		w = d.do("b", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "k"))
		assert.Equal(t, w.Body.String(), expectedStream(keyOf("k"), 0, 3))
		w = d.do("b", newRequest("GET", "/v1/requests/k", ""))
		assert.Equal(t, strings.TrimSpace(w.Body.String()), `{"key":"k","state":"finished","answer":`+want+`}`)
		assert.Equal(t, len(d.engine.Started()), 1)
		// Another organisation has no access to it.
		for _, r := range []*http.Request{newRequest("GET", "/v1/requests/k", ""), newRequest("DELETE", "/v1/requests/k", "")} {
			r.Header.Set("Authorization", "Bearer "+otherKey)
			w = d.do("a", r)
			assert.Equal(t, w.Code, http.StatusNotFound)
		}
	})
}

func TestStateAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, schedulertest.Script{Tokens: 50, Interval: time.Second}, scheduler.Options{}, entry.Options{})
		defer d.close()
		state := func(node string) string {
			w := d.do(nodeID(node), newRequest("GET", "/v1/requests/k%2F1", ""))
			return strings.TrimSpace(w.Body.String())
		}
		d.capacity.Block(true)
		c, _ := d.serve("a", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "k/1", "Request-Timeout", "2.5"), 100)
		synctest.Wait()
		assert.Equal(t, state("b"), `{"key":"k/1","state":"waiting"}`)
		time.Sleep(2600 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, c.status, http.StatusServiceUnavailable)
		d.capacity.Block(false)
		c, _ = d.serve("a", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "k/1"), 100)
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, state("b"), `{"key":"k/1","state":"running"}`)
		w := d.do("b", newRequest("DELETE", "/v1/requests/k%2F1", ""))
		assert.Equal(t, w.Code, http.StatusAccepted)
		synctest.Wait()
		assert.Equal(t, len(d.engine.Cancelled()), 1)
		last := ""
		for write := range c.writes {
			last = write
		}
		assert.Assert(t, strings.Contains(last, `"code":"cancelled"`), last)
		assert.Equal(t, d.do("b", newRequest("DELETE", "/v1/requests/k%2F1", "")).Code, http.StatusNotFound)
	})
}

// A caller that does not read its answer delays no other answer, and the memory of
// its answer stays within the limit.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tokens = 2000
		limit := 64 << 10
		d := newDeployment(t, schedulertest.Script{Tokens: tokens, Interval: time.Millisecond}, scheduler.Options{AnswerBufferBytes: limit}, entry.Options{})
		defer d.close()
		slow, _ := d.serve("a", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "slow"), 0)
		quick := d.do("a", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "quick"))
		assert.Equal(t, quick.Body.String(), expectedStream(keyOf("quick"), 0, tokens))
		time.Sleep(time.Minute)
		assert.Equal(t, d.capacity.Held(), 1)
		assert.Assert(t, d.nodes["a"].scheduler.State().Answers.OpenBytes <= limit)
		var got strings.Builder
		for write := range slow.writes {
			got.WriteString(write)
		}
		assert.Equal(t, got.String(), expectedStream(keyOf("slow"), 0, tokens))
		// After delivered chunks were dropped, the rest is not returned as an answer.
		w := d.do("a", newRequest("POST", chatPath, chatBody, "Idempotency-Key", "slow"))
		assert.Equal(t, w.Code, http.StatusGone)
	})
}

func TestServiceCall(t *testing.T) {
	large := strings.Repeat("large body ", 200_000)
	tests := map[string]struct {
		body    string
		respond func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error)
		status  int
		want    string
		calls   int
	}{
		"echo":            {body: "hello", respond: echoCall, status: 201, want: "hello", calls: 1},
		"large":           {body: large, respond: echoCall, status: 201, want: large, calls: 1},
		"not dispatched":  {respond: failCall(endpoint.ErrNotDispatched), status: 503, want: `"outcome":"not_run"`, calls: 3},
		"connection lost": {respond: failCall(endpoint.ErrBroken), status: 502, want: `"outcome":"ran"`, calls: 1},
		"no response":     {respond: hangingCall, status: 502, want: `"outcome":"ran"`, calls: 1},
		"no status": {respond: func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
			return schedulertest.NewResponse(0, http.NoBody), nil
		}, status: 502, want: `"outcome":"ran"`, calls: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, schedulertest.Script{}, scheduler.Options{}, entry.Options{})
				defer d.close()
				d.service.Respond = test.respond
				w := d.do("a", newRequest("POST", "/services/jobs/saved%2Fjobs?a=1", test.body, "Idempotency-Key", "k", "Connection", "X-Hop", "X-Hop", "1"))
				assert.Equal(t, w.Code, test.status)
				assert.Assert(t, strings.Contains(w.Body.String(), test.want))
				assert.Equal(t, len(d.service.Calls()), test.calls)
				// The answer is sent before the grant is released, at the same instant.
				synctest.Wait()
				assert.Equal(t, d.capacity.Held(), 0)
			})
		})
	}
}

// echoCall returns the body and checks the headers and path that a service receives.
func echoCall(_ context.Context, r endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	for _, hidden := range []string{"Authorization", "X-Hop", "Connection", "Idempotency-Key"} {
		if r.Header.Get(hidden) != "" {
			return endpoint.ServiceResponse{}, errors.New("header forwarded: " + hidden)
		}
	}
	if r.Path != "/saved%2Fjobs?a=1" || r.Key == "" {
		return endpoint.ServiceResponse{}, errors.New("wrong path: " + r.Path)
	}
	return schedulertest.NewResponse(http.StatusCreated, r.Body), nil
}

func hangingCall(ctx context.Context, _ endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	<-ctx.Done()
	return endpoint.ServiceResponse{}, ctx.Err()
}

func failCall(err error) func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	return func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
		return endpoint.ServiceResponse{}, err
	}
}

// A retry of a service call must return the stored response without calling the
// service again. A response that fails midway must abort the connection, so that the
// caller can't take it for complete.
func TestCallIsNeverRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, schedulertest.Script{}, scheduler.Options{}, entry.Options{})
		defer d.close()
		d.service.Respond = func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
			return schedulertest.NewResponse(http.StatusOK, strings.NewReader("clue 7")), nil
		}
		for _, node := range []string{"a", "b", "a"} {
			w := d.do(nodeID(node), newRequest("POST", "/services/jobs/unlock", "", "Idempotency-Key", "k"))
			assert.Equal(t, w.Body.String(), "clue 7")
			assert.Equal(t, w.Header().Get("X-Served"), "yes")
		}
		w := d.do("b", newRequest("GET", "/v1/requests/k", ""))
		var state struct{ Response struct{ Body []byte } }
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &state))
		assert.Equal(t, string(state.Response.Body), "clue 7")
		assert.Equal(t, len(d.service.Calls()), 1)

		d.service.Respond = func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
			return schedulertest.NewResponse(http.StatusOK, io.MultiReader(strings.NewReader("half"), brokenReader{})), nil
		}
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		d.do("a", newRequest("POST", "/services/jobs/unlock", "", "Idempotency-Key", "broken"))
		t.Error("the connection was not aborted")
	})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 0, errors.New("connection reset")
}

func TestOpenSession(t *testing.T) {
	d := newDeployment(t, schedulertest.Script{}, scheduler.Options{}, entry.Options{})
	defer d.close()
	w := d.do("a", newRequest("POST", "/v1/sessions", ""))
	assert.Equal(t, w.Code, http.StatusCreated)
	got, err := d.sessions.Verify(w.Header().Get(session.Header), "cucine", time.Now())
	assert.NilError(t, err)
	assert.Equal(t, string(got.Home), "palermo")
}

// Guards against a request that is reported as running after its caller has the whole response: the key's home learns of the
// end later than the caller.
func TestFinishedCallIsReportedBeforeItsHomeKnows(t *testing.T) {
	for _, node := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t, schedulertest.Script{}, scheduler.Options{}, entry.Options{})
			defer d.close()
			d.home.InjectFault(schedulertest.OpFinish, schedulertest.Fault{Delay: time.Minute})
			d.service.Respond = func(context.Context, endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
				return schedulertest.NewResponse(http.StatusOK, strings.NewReader("clue 7")), nil
			}
			w := d.do("a", newRequest("POST", "/services/jobs/unlock", "", "Idempotency-Key", "k"))
			assert.Equal(t, w.Body.String(), "clue 7")
			var state struct {
				State    string
				Response struct{ Body []byte }
			}
			w = d.do(nodeID(node), newRequest("GET", "/v1/requests/k", ""))
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &state))
			assert.Equal(t, state.State, string(scheduler.ProgressFinished))
			assert.Equal(t, string(state.Response.Body), "clue 7")
		})
	}
}
