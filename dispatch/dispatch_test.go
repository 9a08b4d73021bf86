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

// authorised returns a dispatcher before one engine, and a permit for it.
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

func TestPermitIsSpentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := schedulertest.NewEngine(schedulertest.Script{Tokens: 1})
		d, permit := authorised(t, engine, dispatch.Options{})
		results := make(chan dispatch.Result, 10)
		for range cap(results) {
			go func() {
				results <- d.RunEngine(t.Context(), permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
			}()
		}
		spent := 0
		for range cap(results) {
			if result := <-results; result.NotSent != nil {
				assert.ErrorIs(t, result.NotSent, dispatch.ErrPermitUsed)
				spent++
			}
		}
		assert.Equal(t, spent, cap(results)-1)
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

// For how long a broken stream is tried again, and that a silent engine which
// still answers is given more time.
func TestPatience(t *testing.T) {
	tests := map[string]struct {
		script   schedulertest.Script
		atLeast  time.Duration
		atMost   time.Duration
		complete bool
	}{
		"engine away":        {schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{4}, ResumeErr: endpoint.ErrBroken, ResumeFailures: 1000}, 10 * time.Second, 13 * time.Second, false},
		"back in time":       {schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{4}, ResumeErr: endpoint.ErrBroken, ResumeFailures: 3}, 0, 10 * time.Second, true},
		"stream forgotten":   {schedulertest.Script{Tokens: 9, DisconnectAt: []uint64{4}, ForgetOnDisconnect: true}, 0, time.Second, false},
		"never arrived":      {schedulertest.Script{StartErr: endpoint.ErrBroken}, 2 * time.Second, 4 * time.Second, false},
		"silent, then alive": {schedulertest.Script{Tokens: 9, StallAt: 4}, 20 * time.Second, 22 * time.Second, true},
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

// What a stream says after Start went well can't take the dispatch back.
func TestNotDispatchedAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := lyingEngine{schedulertest.NewEngine(schedulertest.Script{})}
		d, permit := authorised(t, engine, dispatch.Options{})
		result := d.RunEngine(t.Context(), permit, dispatch.EngineRun{Buffer: answer.NewBuffer(0)})
		assert.NilError(t, result.NotSent)
		assert.Equal(t, result.End.Outcome, domain.OutcomeRan)
	})
}

type lyingEngine struct{ *schedulertest.Engine }

func (lyingEngine) Start(context.Context, endpoint.EngineRequest) (endpoint.Stream, error) {
	return lyingStream{}, nil
}

type lyingStream struct{}

func (lyingStream) Next(context.Context) (endpoint.Event, error) {
	return endpoint.Event{}, endpoint.ErrNotDispatched
}

func (lyingStream) Close() error { return nil }

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
	return &oneEvent{data: `{"choices":[],"usage":{"prompt_tokens":70,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":64}}}`}, nil
}

type oneEvent struct {
	data string
	next uint64
}

func (s *oneEvent) Next(context.Context) (endpoint.Event, error) {
	event := endpoint.Event{Offset: s.next, Data: []byte(s.data)}
	s.next++
	s.data = "[DONE]"
	return event, nil
}

func (s *oneEvent) Close() error { return nil }
