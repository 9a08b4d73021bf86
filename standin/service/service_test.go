package service_test

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpservice"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/standin/service"
)

// do calls the service and returns the response's status and body.
func do(ctx context.Context, s endpoint.Service, method, path, body string) (int, string, error) {
	request := endpoint.ServiceRequest{Key: "k", Method: method, Path: path, Body: strings.NewReader(body), Length: int64(len(body))}
	response, err := s.Call(ctx, request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.Status, strings.TrimSpace(string(text)), err
}

func TestRoutes(t *testing.T) {
	s := service.New(service.Options{ProcessingTime: -1})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	remote := httpservice.New(server.URL, onesend.New(onesend.Options{}))
	steps := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/catalogue/oak%2Ftop", "", 200, `{"item":"oak/top","price_cents":1700}`},
		{"POST", "/jobs", "kitchen", 201, `{"id":1,"text":"kitchen"}`},
		{"GET", "/jobs/1", "", 200, `{"id":1,"text":"kitchen"}`},
		{"GET", "/jobs", "", 200, `[{"id":1,"text":"kitchen"}]`},
		{"GET", "/jobs/2", "", 404, `{"error":{"message":"code=404, message=no such job","code":404}}`},
		{"POST", "/quotes", "oak", 201, `{"number":1,"text":"oak"}`},
		{"POST", "/scores", `{"team":"a","points":3}`, 200, `{"team":"a","points":3}`},
		{"POST", "/scores", `{"team":"b","points":5}`, 200, `{"team":"b","points":5}`},
		{"GET", "/scoreboard", "", 200, `[{"team":"b","points":5},{"team":"a","points":3}]`},
		{"POST", "/unlocks", `{"team":"a","clue":"x"}`, 200, `{"team":"a","clue":"x","uses":1}`},
		{"POST", "/unlocks", `{"team":"a","clue":"x"}`, 200, `{"team":"a","clue":"x","uses":2}`},
		{"POST", "/unlocks", `{"team":1}`, 400, ""},
		{"PATCH", "/echo", "back", 200, "back"},
		{"GET", "/nowhere", "", 404, `{"error":{"message":"code=404, message=Not Found","code":404}}`},
	}
	for i, step := range steps {
		caller := []endpoint.Service{s, remote}[i%2]
		status, body, err := do(t.Context(), caller, step.method, step.path, step.body)
		assert.NilError(t, err)
		assert.Equal(t, status, step.status, step.path)
		if step.want != "" {
			assert.Equal(t, body, step.want)
		}
	}
	runs := s.Runs()
	assert.Equal(t, len(runs), len(steps))
	for i, step := range steps {
		assert.Equal(t, runs[i].Key+runs[i].Method+runs[i].Path, "k"+step.method+step.path)
		assert.Equal(t, runs[i].Status, step.status)
	}
}

func TestLargeBodiesAreEchoed(t *testing.T) {
	s := service.New(service.Options{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	for _, caller := range []endpoint.Service{s, httpservice.New(server.URL, onesend.New(onesend.Options{}))} {
		status, body, err := do(t.Context(), caller, "POST", "/echo", string(large))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Assert(t, body == string(large))
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults   service.Faults
		status   int
		err      error
		runs     int
		duration time.Duration
	}{
		"none":     {service.Faults{}, 201, nil, 1, 10 * time.Millisecond},
		"straggle": {service.Faults{Straggle: 5}, 201, nil, 1, 50 * time.Millisecond},
		"refuse":   {service.Faults{Refuse: true}, 0, endpoint.ErrNotDispatched, 0, 0},
		"pause":    {service.Faults{Pause: true}, 0, endpoint.ErrBroken, 0, time.Minute},
		"late":     {service.Faults{AnswerDelayMillis: 90}, 201, nil, 1, 100 * time.Millisecond},
		"too late": {service.Faults{AnswerDelayMillis: 90_000}, 0, endpoint.ErrBroken, 1, time.Minute},
		"lost":     {service.Faults{LoseAnswers: 1}, 0, endpoint.ErrBroken, 1, 10 * time.Millisecond},
		"status":   {service.Faults{Status: 500}, 500, nil, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := service.New(service.Options{ProcessingTime: 10 * time.Millisecond})
				s.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				start := time.Now()
				status, _, err := do(ctx, s, "POST", "/quotes", "q")
				assert.ErrorIs(t, err, test.err)
				assert.Equal(t, status, test.status)
				assert.Equal(t, time.Since(start), test.duration)
				assert.Equal(t, len(s.Runs()), test.runs)
			})
		})
	}
}

func TestCrashErasesDataAndAbortsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service.New(service.Options{ProcessingTime: time.Second, RestartDelay: time.Minute, Workers: 1})
		_, _, err := do(t.Context(), s, "POST", "/jobs", "before")
		assert.NilError(t, err)
		time.AfterFunc(500*time.Millisecond, s.Crash)
		_, _, err = do(t.Context(), s, "POST", "/jobs", "during")
		assert.ErrorIs(t, err, endpoint.ErrBroken)
		_, _, err = do(t.Context(), s, "GET", "/jobs", "")
		assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
		time.Sleep(time.Minute)
		synctest.Wait()
		_, jobs, err := do(t.Context(), s, "GET", "/jobs", "")
		assert.NilError(t, err)
		assert.Equal(t, jobs, "[]")
	})
}

func TestWorkersLimitConcurrentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service.New(service.Options{ProcessingTime: time.Second, Workers: 2})
		done := make(chan error)
		start := time.Now()
		for range 4 {
			go func() {
				_, _, err := do(t.Context(), s, "GET", "/jobs", "")
				done <- err
			}()
		}
		for range 4 {
			assert.NilError(t, <-done)
		}
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}
