package scheduler_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

var errLost = errors.New("lost")

// bench is two nodes before one engine.

func TestOutcomeOfEachStep(t *testing.T) {
	fault := func(step schedulertest.Step, err error, late bool, times int) func(*bench) {
		return func(b *bench) { b.home.Break(step, schedulertest.Fault{Err: err, Late: late, Times: times}) }
	}
	refused := func(err error) func(*bench) {
		return func(b *bench) { b.capacity.Refuse(&capacity.Refusal{Err: err, RetryAfter: time.Second}) }
	}
	both := func(faults ...func(*bench)) func(*bench) {
		return func(b *bench) {
			for _, f := range faults {
				f(b)
			}
		}
	}
	blocked := func(b *bench) { b.capacity.Block(true) }
	limited := func(b *bench) { b.limits.err = &scheduler.LimitError{Reason: "in flight"} }
	// revokedMeanwhile has the place taken back during each of the first commits.
	revokedMeanwhile := func(times int) func(*bench) {
		return func(b *bench) {
			b.home.Break("commit", schedulertest.Fault{Delay: 2 * time.Second})
			for i := range times {
				time.AfterFunc(time.Second+time.Duration(i)*2*time.Second, func() { b.capacity.Grants()[i].Revoke() })
			}
		}
	}
	const (
		notRun  = domain.OutcomeNotRun
		unknown = domain.OutcomeUnknown
		ran     = domain.OutcomeRan
	)
	tests := []struct {
		name    string
		script  schedulertest.Script
		fault   func(*bench)
		minted  bool
		outcome domain.Outcome
		code    answer.Code
		starts  int
		state   ledger.State
	}{
		{name: "all well", outcome: "", starts: 1, state: ledger.StateFinished},
		{name: "claim: home away", fault: fault("claim", ledger.ErrUnknown, false, 0), outcome: unknown, code: answer.CodeHistoryUnknown},
		{name: "claim: reply lost", fault: fault("claim", errLost, true, 0), outcome: unknown, code: answer.CodeHistoryUnknown, state: ledger.StateClaimed},
		{name: "claim: home away, new key", fault: fault("claim", ledger.ErrUnknown, false, 0), minted: true, outcome: notRun, code: answer.CodeHistoryUnknown},
		{name: "claim: full", fault: fault("claim", ledger.ErrFull, false, 0), outcome: notRun, code: answer.CodeLedgerFull},
		{name: "claim: key reused", fault: fault("claim", ledger.ErrFingerprintMismatch, false, 0), outcome: notRun, code: answer.CodeKeyReused},
		{name: "limits", fault: limited, outcome: notRun, code: answer.CodeLimited},
		{name: "limits, release lost", fault: both(limited, fault("release", errLost, false, 1)), outcome: unknown, code: answer.CodeUnsettled},
		{name: "acquire: shed", fault: refused(capacity.ErrShed), outcome: notRun, code: answer.CodeShed},
		{name: "acquire: late", fault: refused(capacity.ErrDeadline), outcome: notRun, code: answer.CodeDeadline},
		{name: "acquire: no endpoint", fault: refused(capacity.ErrNoEndpoint), outcome: notRun, code: answer.CodeNoEndpoint},
		{name: "acquire: quarantined", fault: refused(capacity.ErrQuarantined), outcome: notRun, code: answer.CodeQuarantined},
		{name: "acquire: deadline passes", fault: blocked, outcome: notRun, code: answer.CodeDeadline},
		{name: "acquire: shed, release lost", fault: both(refused(capacity.ErrShed), fault("release", errLost, true, 1)), outcome: unknown, code: answer.CodeUnsettled},
		{name: "acquire: shed, release refused", fault: both(refused(capacity.ErrShed), fault("release", ledger.ErrRevoked, false, 0)), outcome: unknown, code: answer.CodeUnsettled, state: ledger.StateClaimed},
		{name: "commit: not recorded", fault: fault("commit", errLost, false, 0), outcome: notRun, code: answer.CodeHomeUnreachable},
		{name: "commit: reply lost", fault: fault("commit", errLost, true, 0), outcome: notRun, code: answer.CodeHomeUnreachable},
		{name: "commit and release lost", fault: both(fault("commit", errLost, true, 0), fault("release", errLost, false, 1)), outcome: unknown, code: answer.CodeUnsettled},
		{name: "commit: revoked once", fault: fault("commit", ledger.ErrRevoked, false, 1), outcome: "", starts: 1, state: ledger.StateFinished},
		{name: "commit: recorded, then revoked", fault: fault("commit", ledger.ErrRevoked, true, 1), outcome: unknown, code: answer.CodeHolderUnreachable, state: ledger.StateCommitted},
		{name: "commit: place taken back meanwhile", fault: revokedMeanwhile(1), outcome: "", starts: 1, state: ledger.StateFinished},
		{name: "commit: place taken back each time", fault: revokedMeanwhile(3), outcome: notRun, code: answer.CodePreempted},
		{name: "commit: revoked always", fault: fault("commit", ledger.ErrRevoked, false, 0), outcome: unknown, code: answer.CodeHistoryUnknown, state: ledger.StateClaimed},
		{name: "dispatch: connection refused", script: schedulertest.Script{Start: endpoint.ErrNotDispatched}, outcome: notRun, code: answer.CodeUnreachable},
		{name: "dispatch: connection refused, release lost", script: schedulertest.Script{Start: endpoint.ErrNotDispatched}, fault: fault("release", errLost, false, 1), outcome: unknown, code: answer.CodeUnsettled},
		{name: "dispatch: refused by engine", script: schedulertest.Script{Start: endpoint.ErrRefused, Lost: true}, outcome: ran, code: answer.CodeRefused, starts: 1, state: ledger.StateFailed},
		{name: "dispatch: sent and lost", script: schedulertest.Script{Start: endpoint.ErrBroken}, outcome: ran, code: answer.CodeBroken, state: ledger.StateFailed},
		{name: "stream: engine dies", script: schedulertest.Script{Cuts: []uint64{4}, Forget: true}, outcome: ran, code: answer.CodeBroken, starts: 1, state: ledger.StateFailed},
		{name: "stream: engine stays away", script: schedulertest.Script{Cuts: []uint64{4}, Resume: endpoint.ErrBroken, ResumeFails: 1000}, outcome: ran, code: answer.CodeBroken, starts: 1, state: ledger.StateFailed},
		{name: "finish: lost once", fault: fault("finish", errLost, false, 1), outcome: "", starts: 1, state: ledger.StateFinished},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(test.script, scheduler.Options{})
				defer b.close()
				if test.fault != nil {
					test.fault(b)
				}
				asked := request("k")
				asked.Minted = test.minted
				text, end := readAll(t, b.nodes["a"].Submit(asked))
				assert.Equal(t, end.Outcome, test.outcome)
				assert.Equal(t, end.Code, test.code)
				assert.Equal(t, len(b.engine.Started()), test.starts)
				if end.Complete() {
					assert.Equal(t, text, whole(asked.Key, 0, 10))
				}
				// What was left open is settled in the background.
				time.Sleep(5 * time.Second)
				assert.Equal(t, b.home.State(asked.Key), test.state)
				assert.Equal(t, b.capacity.Held(), 0)
				assert.Equal(t, b.limits.held.Load(), int64(0))
				assert.Equal(t, b.nodes["a"].State().Waiting+b.nodes["a"].State().Running, 0)
			})
		})
	}
}

// A request not run by one attempt is not withheld from the next.
func TestNotRunThenRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		b.capacity.Refuse(&capacity.Refusal{Err: capacity.ErrShed})
		_, end := readAll(t, b.nodes["a"].Submit(request("k")))
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		b.capacity.Refuse(nil)
		text, end := readAll(t, b.nodes["b"].Submit(request("k")))
		assert.Assert(t, end.Complete())
		assert.Equal(t, text, whole(request("k").Key, 0, 10))
	})
}

// An attempt whose caller hung up before its claim was granted runs nothing: the
// caller may have been told not_run by another attempt meanwhile.
func TestLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		b.home.Break(schedulertest.StepClaim, schedulertest.Fault{Delay: 2 * time.Second, Times: 1})
		first := b.nodes["a"].Submit(request("k"))
		synctest.Wait()
		first.Close()
		b.capacity.Refuse(&capacity.Refusal{Err: capacity.ErrShed})
		_, end := readAll(t, b.nodes["b"].Submit(request("k")))
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		b.capacity.Refuse(nil)
		time.Sleep(time.Minute)
		assert.Equal(t, len(b.engine.Started()), 0)
		assert.Equal(t, b.home.State(request("k").Key), ledger.State(0))
	})
}
