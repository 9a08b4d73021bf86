package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// testSpeed returns round figures: 1 ms for a prompt token, 10 ms for a decode step
// with one sequence and 1 ms more for each further sequence.
func testSpeed() engine.Speed {
	return engine.Speed{Prefill: time.Millisecond, DecodeStep: 10 * time.Millisecond, PerSequence: time.Millisecond}
}

// finishAll starts the requests at once and waits for all of them.
func finishAll(t *testing.T, e *engine.Engine, requests ...endpoint.EngineRequest) {
	t.Helper()
	for _, r := range requests {
		start(t, e, r)
	}
	synctest.Wait()
	for _, r := range requests {
		s, err := e.Resume(t.Context(), r.Key, 0)
		assert.NilError(t, err)
		text, _ := readAll(t.Context(), s)
		assert.Equal(t, text, expectedText(t, r), r.Key)
	}
}

func TestDecodeStepGrowsWithBatch(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 10, 4: 13, 8: 17} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine(t, engine.Options{Speed: testSpeed(), KVTokens: 1000})
			// Fills the memory, so that the other requests are admitted together once it
			// ends.
			start(t, e, chatRequest("blocker", "blocker", 999, 1))
			requests := []endpoint.EngineRequest{}
			for i := range n {
				requests = append(requests, chatRequest(fmt.Sprint(i), fmt.Sprint(i), 8, 101))
			}
			finishAll(t, e, requests...)
			run := e.Runs()[1]
			assert.Equal(t, run.Ended.Sub(run.FirstToken)/100, want*time.Millisecond, "batch of %d", n)
		})
	}
}

func TestAdmissionIsFIFOWithinLimits(t *testing.T) {
	tests := map[string]engine.Options{
		"batch limit": {Speed: testSpeed(), BatchLimit: 1},
		// The second request does not fit beside the first. The third would, but must
		// not overtake the second.
		"KV memory": {Speed: testSpeed(), KVTokens: 900},
	}
	for name, options := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine(t, options)
				finishAll(t, e, chatRequest("a", "a", 400, 50), chatRequest("b", "b", 700, 5), chatRequest("c", "c", 8, 5))
				runs := e.Runs()
				assert.Assert(t, !runs[1].Admitted.Before(runs[0].Ended))
				assert.Assert(t, !runs[2].Admitted.Before(runs[1].Admitted))
				assert.Equal(t, e.Counts().Preempted, uint64(0))
			})
		})
	}
}

func TestPrefixCacheReuseAndEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed(), KVTokens: 1000})
		finishAll(t, e, chatRequest("first", "a", 512, 1))
		finishAll(t, e, chatRequest("same", "a", 512, 1))
		finishAll(t, e, chatRequest("other", "b", 950, 1))
		finishAll(t, e, chatRequest("evicted", "a", 512, 1))
		runs := e.Runs()
		cached := []int{runs[0].Cached, runs[1].Cached, runs[3].Cached}
		assert.DeepEqual(t, cached, []int{0, 511, 0})
		assert.Equal(t, runs[1].FirstToken.Sub(runs[1].Admitted), time.Millisecond)
		counts := e.Counts()
		assert.Equal(t, counts.PrefillDone, uint64(512+1+950+512))
		assert.Equal(t, counts.PrefillReused, uint64(511))
		assert.Equal(t, counts.PrefillRepeated, uint64(512))
	})
}

func TestNextTurnReusesAnswerBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed()})
		first := chatRequest("1", "a", 500, 600)
		finishAll(t, e, first)
		second := followUpRequest(t, "2", first, "and then?")
		finishAll(t, e, second)
		run := e.Runs()[1]
		assert.Assert(t, run.Cached > run.PromptTokens-100, "%d of %d", run.Cached, run.PromptTokens)
	})
}

func TestPreemptsLastAdmittedWhenMemoryRunsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed(), KVTokens: 1000})
		finishAll(t, e, chatRequest("a", "a", 300, 400), chatRequest("b", "b", 300, 400))
		counts := e.Counts()
		assert.Assert(t, counts.Preempted > 0)
		assert.Assert(t, counts.PrefillAbandoned >= 300)
		runs := e.Runs()
		assert.Assert(t, runs[0].Ended.Before(runs[1].Ended))
	})
}

func TestCancelFreesBatchSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed(), BatchLimit: 1, LoadLag: -1})
		long := start(t, e, chatRequest("long", "a", 100, 1000))
		start(t, e, chatRequest("next", "b", 100, 10))
		queued := start(t, e, chatRequest("waiting", "c", 100, 10))
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, e.Cancel(t.Context(), "long"))
		assert.NilError(t, e.Cancel(t.Context(), "waiting"))
		assert.NilError(t, e.Cancel(t.Context(), "long"))
		for _, s := range []endpoint.Stream{long, queued} {
			_, err := readAll(t.Context(), s)
			assert.ErrorIs(t, err, endpoint.ErrBroken)
		}
		time.Sleep(time.Second)
		runs := e.Runs()
		assert.Equal(t, runs[0].State, engine.RunCancelled)
		assert.Equal(t, runs[1].State, engine.RunFinished)
		assert.Equal(t, runs[2].State, engine.RunCancelled)
		counts := e.Counts()
		assert.Equal(t, counts.PrefillAbandoned, uint64(100))
		load, err := e.Load(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, load, endpoint.LoadReport{KVTokens: 128 << 10})
		_, err = e.Resume(t.Context(), "long", 0)
		assert.ErrorIs(t, err, endpoint.ErrStreamNotFound)
	})
}

func TestRefusedRequests(t *testing.T) {
	options := engine.Options{Models: []string{"m"}, KVTokens: 1000, WaitingLimit: 1, BatchLimit: 1, Speed: testSpeed()}
	tests := map[string]struct {
		request endpoint.EngineRequest
		want    error
	}{
		"not JSON":      {endpoint.EngineRequest{Body: []byte("{")}, engine.ErrBadRequest},
		"no messages":   {endpoint.EngineRequest{Body: []byte(`{"model":"m"}`)}, engine.ErrBadRequest},
		"negative":      {endpoint.EngineRequest{Body: []byte(`{"model":"m","messages":[{}],"max_tokens":-1}`)}, engine.ErrBadRequest},
		"too large":     {chatRequest("k", "a", 500, 600), engine.ErrBadRequest},
		"another model": {endpoint.EngineRequest{Body: []byte(`{"model":"n","messages":[{}]}`)}, engine.ErrModelNotLoaded},
		"full":          {chatRequest("k", "a", 5, 6), engine.ErrQueueFull},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine(t, options)
				start(t, e, chatRequest("1", "a", 100, 10))
				synctest.Wait()
				start(t, e, chatRequest("2", "a", 100, 10))
				_, err := e.Start(t.Context(), test.request)
				assert.ErrorIs(t, err, test.want)
				assert.ErrorIs(t, err, endpoint.ErrRefused)
				assert.Equal(t, len(e.Runs()), 2)
			})
		})
	}
}
