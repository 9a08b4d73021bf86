package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

var key = domain.RequestKey{Scope: domain.Scope{DataCentre: "palermo"}, Organisation: "o", Client: "k"}

// authorised returns a dispatcher with one engine, and a permit for that engine.
func authorised(t *testing.T, engine endpoint.Engine, options dispatch.Options) (*dispatch.Dispatcher, *dispatch.Permit) {
	t.Helper()
	l := schedulertest.NewHome().LedgerFor(schedulertest.NewMember("a"))
	claim, err := l.Claim(t.Context(), key, ledger.Fingerprint{})
	assert.NilError(t, err)
	permit, err := dispatch.Authorise(t.Context(), l, claim, "e")
	assert.NilError(t, err)
	endpoints := schedulertest.Endpoints{Engines: map[domain.EndpointID]endpoint.Engine{"e": engine}}
	return dispatch.New(endpoints, options), permit
}

func TestPermitIsUsedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := schedulertest.NewEngine(schedulertest.Script{Tokens: 1})
		d, permit := authorised(t, engine, dispatch.Options{})
		results := make(chan dispatch.Result, 10)
		for range cap(results) {
			go func() {
				results <- d.RunEngine(t.Context(), permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
			}()
		}
		rejected := 0
		for range cap(results) {
			if result := <-results; result.NotSent != nil {
				assert.ErrorIs(t, result.NotSent, dispatch.ErrPermitUsed)
				rejected++
			}
		}
		assert.Equal(t, rejected, cap(results)-1)
		assert.Equal(t, len(engine.Started()), 1)
	})
}

func TestNoPermitWithoutCommit(t *testing.T) {
	home := schedulertest.NewHome()
	l := home.LedgerFor(schedulertest.NewMember("a"))
	claim, err := l.Claim(t.Context(), key, ledger.Fingerprint{})
	assert.NilError(t, err)
	home.InjectFault(schedulertest.OpCommit, schedulertest.Fault{Err: ledger.ErrUnknown, ReplyLost: true})
	permit, err := dispatch.Authorise(t.Context(), l, claim, "e")
	assert.ErrorIs(t, err, ledger.ErrUnknown)
	assert.Assert(t, permit == nil)
}

func TestStartAfterCancelSendsNothing(t *testing.T) {
	engine := schedulertest.NewEngine(schedulertest.Script{Tokens: 1})
	d, permit := authorised(t, engine, dispatch.Options{})
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(dispatch.ErrPreempted)
	result := d.RunEngine(ctx, permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
	assert.ErrorIs(t, result.NotSent, dispatch.ErrPreempted)
	assert.Equal(t, len(engine.Started()), 0)
}

// Checks how long a broken stream is resumed, and that an engine that stalls but still responds is
// given more time.
func TestResumeAndStallTimeouts(t *testing.T) {
	tests := map[string]struct {
		script   schedulertest.Script
		atLeast  time.Duration
		atMost   time.Duration
		complete bool
	}{
		"unreachable":        {schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{4}, ResumeErr: endpoint.ErrBroken, ResumeFailures: 1000}, 10 * time.Second, 13 * time.Second, false},
		"recovered":          {schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{4}, ResumeErr: endpoint.ErrBroken, ResumeFailures: 3}, 0, 10 * time.Second, true},
		"stream not found":   {schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{4}, ForgetOnDisconnect: true}, 0, time.Second, false},
		"start failed":       {schedulertest.Script{StartErr: endpoint.ErrBroken}, 2 * time.Second, 4 * time.Second, false},
		"stall, then resume": {schedulertest.Script{Tokens: 9, StallAt: 4}, 20 * time.Second, 22 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := schedulertest.NewEngine(test.script)
				d, permit := authorised(t, engine, dispatch.Options{ResumeWindow: 10 * time.Second, StallTimeout: 20 * time.Second})
				result := d.RunEngine(t.Context(), permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
				assert.NilError(t, result.NotSent)
				assert.Equal(t, result.Usage.Complete, test.complete)
				assert.Equal(t, result.Usage.Crashed, !test.complete)
				assert.Assert(t, result.Usage.Total >= test.atLeast && result.Usage.Total <= test.atMost, result.Usage.Total)
			})
		})
	}
}

// Guards against a stream error that wraps ErrNotDispatched after Start has succeeded: the request
// must still count as dispatched.
func TestNotDispatchedAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := notDispatchedEngine{schedulertest.NewEngine(schedulertest.Script{})}
		d, permit := authorised(t, engine, dispatch.Options{})
		result := d.RunEngine(t.Context(), permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
		assert.NilError(t, result.NotSent)
		assert.Equal(t, result.End.Outcome, domain.OutcomeRan)
	})
}

type notDispatchedEngine struct{ *schedulertest.Engine }

func (notDispatchedEngine) Start(context.Context, endpoint.EngineRequest) (endpoint.Stream, error) {
	return notDispatchedStream{}, nil
}

type notDispatchedStream struct{}

func (notDispatchedStream) Next(context.Context) (endpoint.Event, error) {
	return endpoint.Event{}, endpoint.ErrNotDispatched
}

func (notDispatchedStream) Close() error { return nil }

func TestUsageIsReadFromTheLastEvent(t *testing.T) {
	engine := usageEngine{schedulertest.NewEngine(schedulertest.Script{})}
	d, permit := authorised(t, engine, dispatch.Options{})
	result := d.RunEngine(t.Context(), permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
	assert.Equal(t, result.Usage.PromptTokens, 70)
	assert.Equal(t, result.Usage.AnswerTokens, 5)
	assert.Equal(t, result.Usage.CachedTokens, 64)
}

type usageEngine struct{ *schedulertest.Engine }

func (usageEngine) Start(context.Context, endpoint.EngineRequest) (endpoint.Stream, error) {
	return &oneEventStream{data: `{"choices":[],"usage":{"prompt_tokens":70,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":64}}}`}, nil
}

type oneEventStream struct {
	data string
	next uint64
}

func (s *oneEventStream) Next(context.Context) (endpoint.Event, error) {
	event := endpoint.Event{Offset: s.next, Data: []byte(s.data)}
	s.next++
	s.data = "[DONE]"
	return event, nil
}

func (s *oneEventStream) Close() error { return nil }
