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

var errMessageLost = errors.New("message lost")

// Each step of a request fails in turn. The outcome reported to the caller must match
// what the engine ran, and no claim, slot or permit may be left behind.
func TestOutcomeOfEachStep(t *testing.T) {
	fault := func(op schedulertest.Operation, err error, replyLost bool, count int) func(*cluster) {
		return func(b *cluster) {
			b.home.InjectFault(op, schedulertest.Fault{Err: err, ReplyLost: replyLost, Count: count})
		}
	}
	refused := func(err error) func(*cluster) {
		return func(b *cluster) { b.capacity.SetError(&capacity.Refusal{Err: err, RetryAfter: time.Second}) }
	}
	combined := func(faults ...func(*cluster)) func(*cluster) {
		return func(b *cluster) {
			for _, f := range faults {
				f(b)
			}
		}
	}
	blocked := func(b *cluster) { b.capacity.Block(true) }
	limited := func(b *cluster) { b.limiter.err = &scheduler.LimitError{Reason: "in flight"} }
	// revokedDuringCommit revokes the slot during each of the first commits.
	revokedDuringCommit := func(count int) func(*cluster) {
		return func(b *cluster) {
			b.home.InjectFault("commit", schedulertest.Fault{Delay: 2 * time.Second})
			for i := range count {
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
		name         string
		script       schedulertest.Script
		fault        func(*cluster)
		generatedKey bool
		outcome      domain.Outcome
		code         answer.Code
		starts       int
		state        ledger.State
	}{
		{name: "success", outcome: "", starts: 1, state: ledger.StateFinished},
		{name: "claim: home unreachable", fault: fault("claim", ledger.ErrUnknown, false, 0), outcome: unknown, code: answer.CodeHistoryUnknown},
		{name: "claim: reply lost", fault: fault("claim", errMessageLost, true, 0), outcome: unknown, code: answer.CodeHistoryUnknown, state: ledger.StateClaimed},
		{name: "claim: home unreachable, generated key", fault: fault("claim", ledger.ErrUnknown, false, 0), generatedKey: true, outcome: notRun, code: answer.CodeHistoryUnknown},
		{name: "claim: ledger full", fault: fault("claim", ledger.ErrFull, false, 0), outcome: notRun, code: answer.CodeLedgerFull},
		{name: "claim: key reused", fault: fault("claim", ledger.ErrFingerprintMismatch, false, 0), outcome: notRun, code: answer.CodeKeyReused},
		{name: "limits: exceeded", fault: limited, outcome: notRun, code: answer.CodeLimited},
		{name: "limits: exceeded, release lost", fault: combined(limited, fault("release", errMessageLost, false, 1)), outcome: unknown, code: answer.CodeUnsettled},
		{name: "acquire: shed", fault: refused(capacity.ErrShed), outcome: notRun, code: answer.CodeShed},
		{name: "acquire: deadline unreachable", fault: refused(capacity.ErrDeadline), outcome: notRun, code: answer.CodeDeadline},
		{name: "acquire: no endpoint", fault: refused(capacity.ErrNoEndpoint), outcome: notRun, code: answer.CodeNoEndpoint},
		{name: "acquire: quarantined", fault: refused(capacity.ErrQuarantined), outcome: notRun, code: answer.CodeQuarantined},
		{name: "acquire: deadline passes", fault: blocked, outcome: notRun, code: answer.CodeDeadline},
		{name: "acquire: shed, release lost", fault: combined(refused(capacity.ErrShed), fault("release", errMessageLost, true, 1)), outcome: unknown, code: answer.CodeUnsettled},
		{name: "acquire: shed, release refused", fault: combined(refused(capacity.ErrShed), fault("release", ledger.ErrRevoked, false, 0)), outcome: unknown, code: answer.CodeUnsettled, state: ledger.StateClaimed},
		{name: "commit: not recorded", fault: fault("commit", errMessageLost, false, 0), outcome: notRun, code: answer.CodeHomeUnreachable},
		{name: "commit: reply lost", fault: fault("commit", errMessageLost, true, 0), outcome: notRun, code: answer.CodeHomeUnreachable},
		{name: "commit: commit and release lost", fault: combined(fault("commit", errMessageLost, true, 0), fault("release", errMessageLost, false, 1)), outcome: unknown, code: answer.CodeUnsettled},
		{name: "commit: revoked once", fault: fault("commit", ledger.ErrRevoked, false, 1), outcome: "", starts: 1, state: ledger.StateFinished},
		{name: "commit: recorded, then revoked", fault: fault("commit", ledger.ErrRevoked, true, 1), outcome: unknown, code: answer.CodeHolderUnreachable, state: ledger.StateCommitted},
		{name: "commit: slot revoked during commit", fault: revokedDuringCommit(1), outcome: "", starts: 1, state: ledger.StateFinished},
		{name: "commit: slot revoked during every commit", fault: revokedDuringCommit(3), outcome: notRun, code: answer.CodePreempted},
		{name: "commit: always revoked", fault: fault("commit", ledger.ErrRevoked, false, 0), outcome: unknown, code: answer.CodeHistoryUnknown, state: ledger.StateClaimed},
		{name: "dispatch: connection refused", script: schedulertest.Script{StartErr: endpoint.ErrNotDispatched}, outcome: notRun, code: answer.CodeUnreachable},
		{name: "dispatch: connection refused, release lost", script: schedulertest.Script{StartErr: endpoint.ErrNotDispatched}, fault: fault("release", errMessageLost, false, 1), outcome: unknown, code: answer.CodeUnsettled},
		{name: "dispatch: refused by engine", script: schedulertest.Script{StartErr: endpoint.ErrRefused, RunDespiteStartErr: true}, outcome: ran, code: answer.CodeRefused, starts: 1, state: ledger.StateFailed},
		{name: "dispatch: connection broken after sending", script: schedulertest.Script{StartErr: endpoint.ErrBroken}, outcome: ran, code: answer.CodeBroken, state: ledger.StateFailed},
		{name: "stream: engine crashes", script: schedulertest.Script{DisconnectAt: []uint64{4}, ForgetOnDisconnect: true}, outcome: ran, code: answer.CodeBroken, starts: 1, state: ledger.StateFailed},
		{name: "stream: engine stays unreachable", script: schedulertest.Script{DisconnectAt: []uint64{4}, ResumeErr: endpoint.ErrBroken, ResumeFailures: 1000}, outcome: ran, code: answer.CodeBroken, starts: 1, state: ledger.StateFailed},
		{name: "finish: one message lost", fault: fault("finish", errMessageLost, false, 1), outcome: "", starts: 1, state: ledger.StateFinished},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(test.script, scheduler.Options{})
				defer b.close()
				if test.fault != nil {
					test.fault(b)
				}
				submitted := request("k")
				submitted.GeneratedKey = test.generatedKey
				text, end := readAll(t, b.nodes["a"].Submit(submitted))
				assert.Equal(t, end.Outcome, test.outcome)
				assert.Equal(t, end.Code, test.code)
				assert.Equal(t, len(b.engine.Started()), test.starts)
				if end.Complete() {
					assert.Equal(t, text, expectedText(submitted.Key, 0, 10))
				}
				// Unconfirmed messages to the home are retried in the background.
				time.Sleep(5 * time.Second)
				assert.Equal(t, b.home.State(submitted.Key), test.state)
				assert.Equal(t, b.capacity.Held(), 0)
				assert.Equal(t, b.limiter.held.Load(), int64(0))
				assert.Equal(t, b.nodes["a"].State().Waiting+b.nodes["a"].State().Running, 0)
			})
		})
	}
}

// After one attempt ended as not_run, the next one runs the request.
func TestRetryAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		b.capacity.SetError(&capacity.Refusal{Err: capacity.ErrShed})
		_, end := readAll(t, b.nodes["a"].Submit(request("k")))
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		b.capacity.SetError(nil)
		text, end := readAll(t, b.nodes["b"].Submit(request("k")))
		assert.Assert(t, end.Complete())
		assert.Equal(t, text, expectedText(request("k").Key, 0, 10))
	})
}

// An attempt whose caller disconnected before its claim was granted runs nothing:
// another attempt may have reported not_run to the caller in the meantime.
func TestClaimGrantedAfterDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		b.home.InjectFault(schedulertest.OpClaim, schedulertest.Fault{Delay: 2 * time.Second, Count: 1})
		first := b.nodes["a"].Submit(request("k"))
		synctest.Wait()
		first.Close()
		b.capacity.SetError(&capacity.Refusal{Err: capacity.ErrShed})
		_, end := readAll(t, b.nodes["b"].Submit(request("k")))
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		b.capacity.SetError(nil)
		time.Sleep(time.Minute)
		assert.Equal(t, len(b.engine.Started()), 0)
		assert.Equal(t, b.home.State(request("k").Key), ledger.State(0))
	})
}
