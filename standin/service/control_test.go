package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/standin/service"
)

// Guards against a timed fault that clears what a later request has set, which makes tests milder than they say.
func TestTimedFaultClearsOnlyItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service.New(service.Options{})
		handler := service.NewControlHandler(s)
		post := func(body string) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, "/standin/faults", strings.NewReader(body))
			r.Header.Set("Content-Type", "application/json")
			handler.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
		}
		post(`{"straggle": 2, "status": 500, "for_ms": 1000}`)
		time.Sleep(500 * time.Millisecond)
		post(`{"straggle": 3, "leaving": true}`)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, s.Faults(), service.Faults{Straggle: 3, Leaving: true})
		post(`{"refuse": true, "for_ms": 1000}`)
		post(`{"refuse": true, "for_ms": 5000}`)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, s.Faults().Refuse, "cleared by the earlier time")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.Equal(t, s.Faults(), service.Faults{Straggle: 3, Leaving: true})
	})
}

// Guards against a call that is served although its caller left while it waited for a worker.
func TestWaitingCallEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service.New(service.Options{ProcessingTime: time.Second, Workers: 1})
		first := make(chan error, 1)
		go func() {
			_, _, err := do(t.Context(), s, "POST", "/jobs", "first")
			first <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		second := make(chan error, 1)
		go func() {
			_, _, err := do(ctx, s, "POST", "/jobs", "second")
			second <- err
		}()
		synctest.Wait()
		cancel()
		assert.Assert(t, <-second != nil)
		assert.NilError(t, <-first)
		time.Sleep(3 * time.Second)
		_, jobs, err := do(t.Context(), s, "GET", "/jobs", "")
		assert.NilError(t, err)
		assert.Equal(t, jobs, `[{"id":1,"text":"first"}]`)
	})
}
