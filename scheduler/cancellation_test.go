package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

func TestCancellation(t *testing.T) {
	cancel := func(node domain.NodeID) func(*testing.T, *bench, *scheduler.Handle) {
		return func(t *testing.T, b *bench, _ *scheduler.Handle) {
			assert.NilError(t, b.nodes[node].Cancel(t.Context(), request("k").Key))
		}
	}
	tests := map[string]struct {
		noReturn bool
		waiting  bool
		act      func(*testing.T, *bench, *scheduler.Handle)
		outcome  domain.Outcome
		code     answer.Code
		cancels  int
	}{
		"by the caller":                    {act: cancel("a"), outcome: domain.OutcomeRan, code: answer.CodeCancelled, cancels: 1},
		"by the caller at another node":    {act: cancel("b"), outcome: domain.OutcomeRan, code: answer.CodeCancelled, cancels: 1},
		"by the caller while waiting":      {waiting: true, act: cancel("b"), outcome: domain.OutcomeNotRun, code: answer.CodeCancelled},
		"for a higher tier":                {act: func(_ *testing.T, b *bench, _ *scheduler.Handle) { b.capacity.Grants()[0].Revoke() }, outcome: domain.OutcomeRan, code: answer.CodePreempted, cancels: 1},
		"caller gone for the grace time":   {act: gone(31 * time.Second), outcome: domain.OutcomeRan, code: answer.CodeCallerGone, cancels: 1},
		"caller gone for less":             {act: back},
		"caller gone, can't come back":     {noReturn: true, act: gone(time.Second), outcome: domain.OutcomeRan, code: answer.CodeCallerGone, cancels: 1},
		"caller gone while waiting":        {waiting: true, act: gone(31 * time.Second), outcome: domain.OutcomeNotRun, code: answer.CodeCallerGone},
		"caller gone and taken over":       {act: takenOver, outcome: domain.OutcomeUnknown, code: answer.CodeOvertaken},
		"node stopped without a drain":     {act: func(_ *testing.T, b *bench, _ *scheduler.Handle) { b.nodes["a"].Close() }, outcome: domain.OutcomeRan, code: answer.CodeStopped, cancels: 1},
		"node stopped while request waits": {waiting: true, act: func(_ *testing.T, b *bench, _ *scheduler.Handle) { b.nodes["a"].Close() }, outcome: domain.OutcomeNotRun, code: answer.CodeStopped},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(schedulertest.Script{Tokens: 60}, scheduler.Options{})
				defer b.close()
				b.capacity.Block(test.waiting)
				asked := request("k")
				asked.CancelOnDisconnect = test.noReturn
				handle := b.nodes["a"].Submit(asked)
				time.Sleep(1500 * time.Millisecond)
				test.act(t, b, handle)
				// Reading on after Close doesn't count as a caller.
				_, end := readFrom(t, handle, answer.Position{}, 1<<62)
				assert.Equal(t, end.Outcome, test.outcome)
				assert.Equal(t, end.Code, test.code)
				synctest.Wait()
				assert.Equal(t, len(b.engine.Cancelled()), test.cancels)
				assert.Equal(t, b.capacity.Held(), 0)
			})
		})
	}
}

func gone(away time.Duration) func(*testing.T, *bench, *scheduler.Handle) {
	return func(_ *testing.T, _ *bench, handle *scheduler.Handle) {
		handle.Close()
		time.Sleep(away)
	}
}

func back(t *testing.T, b *bench, handle *scheduler.Handle) {
	gone(29*time.Second)(t, b, handle)
	t.Cleanup(b.nodes["a"].Submit(request("k")).Close)
}

// takenOver lets another node take the request over while this one's caller is gone.

func takenOver(t *testing.T, b *bench, handle *scheduler.Handle) {
	b.home.MarkGone(schedulertest.NewMember("a"))
	other := b.nodes["b"].Submit(request("k"))
	t.Cleanup(other.Close)
	gone(31*time.Second)(t, b, handle)
}
