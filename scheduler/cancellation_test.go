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
	cancel := func(node domain.NodeID) func(*testing.T, *cluster, *scheduler.Handle) {
		return func(t *testing.T, b *cluster, _ *scheduler.Handle) {
			assert.NilError(t, b.nodes[node].Cancel(t.Context(), request("k").Key))
		}
	}
	tests := map[string]struct {
		cancelOnDisconnect bool
		waiting            bool
		act                func(*testing.T, *cluster, *scheduler.Handle)
		outcome            domain.Outcome
		code               answer.Code
		cancels            int
	}{
		"by the caller":                               {act: cancel("a"), outcome: domain.OutcomeRan, code: answer.CodeCancelled, cancels: 1},
		"by the caller at another node":               {act: cancel("b"), outcome: domain.OutcomeRan, code: answer.CodeCancelled, cancels: 1},
		"by the caller while waiting":                 {waiting: true, act: cancel("b"), outcome: domain.OutcomeNotRun, code: answer.CodeCancelled},
		"preempted by a higher tier":                  {act: func(_ *testing.T, b *cluster, _ *scheduler.Handle) { b.capacity.Grants()[0].Revoke() }, outcome: domain.OutcomeRan, code: answer.CodePreempted, cancels: 1},
		"caller disconnected beyond the grace period": {act: disconnectFor(31 * time.Second), outcome: domain.OutcomeRan, code: answer.CodeCallerGone, cancels: 1},
		"caller reconnects within the grace period":   {act: reconnectWithinGrace},
		"caller disconnected, CancelOnDisconnect":     {cancelOnDisconnect: true, act: disconnectFor(time.Second), outcome: domain.OutcomeRan, code: answer.CodeCallerGone, cancels: 1},
		"caller disconnected while waiting":           {waiting: true, act: disconnectFor(31 * time.Second), outcome: domain.OutcomeNotRun, code: answer.CodeCallerGone},
		"caller disconnected, request taken over":     {act: takenOverByOtherNode, outcome: domain.OutcomeUnknown, code: answer.CodeOvertaken},
		"node closed without drain":                   {act: func(_ *testing.T, b *cluster, _ *scheduler.Handle) { b.nodes["a"].Close() }, outcome: domain.OutcomeRan, code: answer.CodeStopped, cancels: 1},
		"node closed while request waits":             {waiting: true, act: func(_ *testing.T, b *cluster, _ *scheduler.Handle) { b.nodes["a"].Close() }, outcome: domain.OutcomeNotRun, code: answer.CodeStopped},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(schedulertest.Script{Tokens: 60}, scheduler.Options{})
				defer b.close()
				b.capacity.Block(test.waiting)
				submitted := request("k")
				submitted.CancelOnDisconnect = test.cancelOnDisconnect
				handle := b.nodes["a"].Submit(submitted)
				time.Sleep(1500 * time.Millisecond)
				test.act(t, b, handle)
				// Read does not count as a reader once the handle is closed.
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

func disconnectFor(duration time.Duration) func(*testing.T, *cluster, *scheduler.Handle) {
	return func(_ *testing.T, _ *cluster, handle *scheduler.Handle) {
		handle.Close()
		time.Sleep(duration)
	}
}

func reconnectWithinGrace(t *testing.T, b *cluster, handle *scheduler.Handle) {
	disconnectFor(29*time.Second)(t, b, handle)
	t.Cleanup(b.nodes["a"].Submit(request("k")).Close)
}

// takenOverByOtherNode lets another node take the request over while the caller is
// disconnected from this one.
func takenOverByOtherNode(t *testing.T, b *cluster, handle *scheduler.Handle) {
	b.home.MarkGone(schedulertest.NewMember("a"))
	other := b.nodes["b"].Submit(request("k"))
	t.Cleanup(other.Close)
	disconnectFor(31*time.Second)(t, b, handle)
}
