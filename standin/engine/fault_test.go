package engine_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
	"hawthornrill.example/hawthornrill/standin/engine"
)

func TestResumeReturnsCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed()})
		request := chatRequest("k", "a", 20, 30)
		start(t, e, request)
		time.Sleep(150 * time.Millisecond)
		e.DisconnectStreams()
		for range 2 {
			s, err := e.Resume(t.Context(), "k", 0)
			assert.NilError(t, err)
			text, err := readAll(t.Context(), s)
			assert.Assert(t, errors.Is(err, io.EOF), err)
			assert.Equal(t, text, expectedText(t, request))
		}
		assert.Equal(t, len(e.Runs()), 1)
		time.Sleep(time.Minute)
		_, err := e.Resume(t.Context(), "k", 0)
		assert.ErrorIs(t, err, endpoint.ErrStreamNotFound)
	})
}

func TestCrashDiscardsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed(), RestartDelay: time.Minute, Models: []string{"m"}, CacheEventDelay: -1})
		assert.NilError(t, e.Order(t.Context(), endpoint.Order{Fence: 9, Kind: endpoint.OrderSetRole, Role: endpoint.RoleDecode}))
		s := start(t, e, chatRequest("k", "a", 200, 30))
		time.Sleep(300 * time.Millisecond)
		before, err := e.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, len(before) > 0)
		e.Crash()
		_, err = readAll(t.Context(), s)
		assert.ErrorIs(t, err, endpoint.ErrBroken)
		_, err = e.Start(t.Context(), chatRequest("k", "a", 200, 30))
		assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
		time.Sleep(time.Minute)
		synctest.Wait()
		_, err = e.Resume(t.Context(), "k", 0)
		assert.ErrorIs(t, err, endpoint.ErrStreamNotFound)
		state, err := e.State(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Fence, uint64(0))
		load, err := e.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, load.KVTokens, 128<<10)
		finishAll(t, e, chatRequest("k", "a", 200, 30))
		runs := e.Runs()
		assert.Equal(t, len(runs), 2)
		assert.Equal(t, runs[0].State, engine.RunCrashed)
		assert.Equal(t, runs[1].Cached, 0)
		counts := e.Counts()
		assert.Equal(t, counts.Crashed, uint64(1))
		assert.Assert(t, counts.PrefillRepeated > 0)
		after, err := e.CacheEvents(t.Context(), before[len(before)-1].Sequence)
		assert.NilError(t, err)
		assert.Assert(t, len(after) > 0)
	})
}

func TestPoisonCrashesEachEngineThatRunsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed(), Poison: "BOOM"})
		bystander := start(t, e, chatRequest("b", "b", 50, 500))
		time.Sleep(100 * time.Millisecond)
		poisoned := start(t, e, chatRequest("p", "xxBOOM", 50, 10))
		for _, s := range []endpoint.Stream{bystander, poisoned} {
			_, err := readAll(t.Context(), s)
			assert.ErrorIs(t, err, endpoint.ErrBroken)
		}
		assert.Equal(t, e.Counts().Crashes, uint64(1))
		synctest.Wait()
		finishAll(t, e, chatRequest("c", "c", 50, 10))
	})
}

func TestFaultsSeenByCallers(t *testing.T) {
	request := chatRequest("k", "a", 20, 10)
	tests := map[string]struct {
		faults engine.Faults
		// start and read are the errors expected from Start and from reading to the
		// end; runs is the number of requests that the engine ran.
		start, read error
		runs        int
		takes       time.Duration
	}{
		"none":                 {engine.Faults{}, nil, io.EOF, 1, 110 * time.Millisecond},
		"straggle":             {engine.Faults{Straggle: 3}, nil, io.EOF, 1, 330 * time.Millisecond},
		"refuse":               {engine.Faults{Refuse: true}, endpoint.ErrNotDispatched, nil, 0, 0},
		"delayed reply":        {engine.Faults{AnswerDelayMillis: 500}, nil, io.EOF, 1, 500 * time.Millisecond},
		"reply after time-out": {engine.Faults{AnswerDelayMillis: 90_000}, endpoint.ErrBroken, nil, 1, time.Minute},
		"paused":               {engine.Faults{Pause: true}, endpoint.ErrBroken, nil, 0, time.Minute},
		"dropped reply":        {engine.Faults{DropStartReplies: 1}, endpoint.ErrBroken, nil, 1, 0},
		"disconnect":           {engine.Faults{DisconnectAfter: 3}, nil, endpoint.ErrBroken, 1, 40 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine(t, engine.Options{Speed: testSpeed()})
				e.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				startTime := time.Now()
				s, err := e.Start(ctx, request)
				assert.ErrorIs(t, err, test.start)
				if err == nil {
					_, err = readAll(ctx, s)
					assert.ErrorIs(t, err, test.read)
				}
				assert.Equal(t, time.Since(startTime), test.takes)
				assert.Equal(t, len(e.Runs()), test.runs)
			})
		})
	}
}

func TestPauseSuspendsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed()})
		s := start(t, e, chatRequest("k", "a", 20, 11))
		time.Sleep(75 * time.Millisecond)
		e.SetFaults(engine.Faults{Pause: true})
		time.AfterFunc(time.Hour, func() { e.SetFaults(engine.Faults{}) })
		startTime := time.Now()
		_, err := readAll(t.Context(), s)
		assert.Assert(t, errors.Is(err, io.EOF), err)
		assert.Equal(t, time.Since(startTime), time.Hour+40*time.Millisecond)
	})
}

func TestDuplicateAndSwappedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{})
		e.SetFaults(engine.Faults{DuplicateEvery: 3, SwapEvery: 5})
		s := start(t, e, chatRequest("k", "a", 20, 6))
		synctest.Wait()
		var offsets []uint64
		for event, err := s.Next(t.Context()); err == nil; event, err = s.Next(t.Context()) {
			offsets = append(offsets, event.Offset)
		}
		assert.DeepEqual(t, offsets, []uint64{0, 1, 2, 2, 3, 5, 4, 6, 7})
	})
}

func TestLoadReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: testSpeed(), LoadLag: time.Second})
		time.Sleep(time.Minute)
		start(t, e, chatRequest("k", "a", 20, 400))
		for _, want := range []int{0, 0, 1, 1, 1, 1, 0} {
			load, err := e.Load(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, load.Running, want)
			assert.Equal(t, load.Age, time.Second)
			time.Sleep(950 * time.Millisecond)
		}
	})
}

func TestCacheEventsDelayedAndLossy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{CacheEventDelay: time.Second, CacheEventLossRate: 0.3, Seed: 1})
		finishAll(t, e, chatRequest("k", "a", 100*prefix.BlockTokens, 1))
		events, err := e.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 0)
		time.Sleep(time.Second)
		events, err = e.CacheEvents(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, len(events) > 50 && len(events) < 90, "%d", len(events))
		rest, err := e.CacheEvents(t.Context(), events[9].Sequence)
		assert.NilError(t, err)
		assert.DeepEqual(t, rest, events[10:])
	})
}
