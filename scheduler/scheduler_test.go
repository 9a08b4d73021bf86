package scheduler_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

var errLost = errors.New("lost")

// bench is two nodes before one engine.
type bench struct {
	network  *peertest.Network
	home     *schedulertest.Home
	capacity *schedulertest.Capacity
	engine   *schedulertest.Engine
	limits   *limits
	peers    map[domain.NodeID]*peertest.Node
	nodes    map[domain.NodeID]*scheduler.Scheduler
}

func newBench(script schedulertest.Script, options scheduler.Options) *bench {
	if script.Tokens == 0 {
		script.Tokens = 10
	}
	if script.Interval == 0 {
		script.Interval = time.Second
	}
	b := &bench{
		network:  peertest.NewNetwork(),
		home:     schedulertest.NewHome(),
		capacity: schedulertest.NewCapacity("e"),
		engine:   schedulertest.NewEngine(script),
		limits:   &limits{},
		peers:    make(map[domain.NodeID]*peertest.Node),
		nodes:    make(map[domain.NodeID]*scheduler.Scheduler),
	}
	world := schedulertest.World{
		Home:      b.home,
		Capacity:  b.capacity,
		Endpoints: schedulertest.Endpoints{Engines: map[domain.EndpointID]endpoint.Engine{"e": b.engine}},
		Limits:    b.limits,
	}
	for _, name := range []domain.NodeID{"a", "b", "c"} {
		b.peers[name] = b.network.Node(schedulertest.Member(name))
		b.nodes[name] = world.NewScheduler(b.peers[name], options)
	}
	return b
}

func (b *bench) close() {
	for _, s := range b.nodes {
		s.Close()
	}
	b.network.Close()
}

// limits counts permits and fails with err.
type limits struct {
	err  error
	held atomic.Int64
}

func (l *limits) Admit(*config.Organisation, int, int) (scheduler.LimitPermit, error) {
	if l.err != nil {
		return nil, l.err
	}
	l.held.Add(1)
	return l, nil
}

func (l *limits) Release(int, int) { l.held.Add(-1) }

func organisation(rank domain.Tier) *config.Organisation {
	return &config.Organisation{OrganisationRow: config.OrganisationRow{ID: "o"}, Rank: rank}
}

func request(client string) scheduler.Request {
	return scheduler.Request{
		Key:          domain.RequestKey{Scope: domain.Scope{DataCentre: "palermo"}, Organisation: "o", Client: client},
		Organisation: organisation(0),
		Pool:         domain.ModelPool("m"),
		Body:         []byte("{}"),
	}
}

// readAll reads a handle to the end, closes it and returns the text.
func readAll(t *testing.T, h *scheduler.Handle) (string, answer.End) {
	t.Helper()
	defer h.Close()
	return readFrom(t, h, answer.Position{}, 1<<62)
}

// readFrom reads until the end or the chunk before stop.
func readFrom(t *testing.T, h *scheduler.Handle, position answer.Position, stop uint64) (string, answer.End) {
	t.Helper()
	var text strings.Builder
	for position.From < stop {
		batch, err := h.Read(t.Context(), position)
		assert.NilError(t, err)
		for _, chunk := range batch.Chunks {
			text.Write(chunk.Data)
		}
		if batch.End != nil {
			return text.String(), *batch.End
		}
		position = position.Advance(batch)
	}
	return text.String(), answer.End{}
}

// whole is the answer to a key, between two offsets.
func whole(key domain.RequestKey, from, to uint64) string {
	var text strings.Builder
	for offset := from; offset < to; offset++ {
		text.WriteString(schedulertest.Token(key.String(), offset))
	}
	return text.String()
}

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
	revokedMeanwhile := func(b *bench) {
		b.home.Break("commit", schedulertest.Fault{Delay: 2 * time.Second})
		time.AfterFunc(time.Second, func() { b.capacity.Grants()[0].Revoke() })
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
		{name: "claim: key reused", fault: fault("claim", ledger.ErrFingerprint, false, 0), outcome: notRun, code: answer.CodeKeyReused},
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
		{name: "commit: place taken back meanwhile", fault: revokedMeanwhile, outcome: notRun, code: answer.CodePreempted},
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

func TestCallerComesBack(t *testing.T) {
	tests := map[string]struct {
		node  domain.NodeID
		after time.Duration
		fault func(*bench)
		from  uint64
		want  domain.Outcome
	}{
		"at the same node":                  {node: "a", from: 4},
		"at another node":                   {node: "b", from: 4},
		"at another node, from the start":   {node: "b"},
		"when the answer is finished":       {node: "b", after: 15 * time.Second},
		"much later":                        {node: "b", after: 5 * time.Minute},
		"when the answer is no longer held": {node: "b", after: 11 * time.Minute, want: domain.OutcomeRan},
		"while the holder is cut off": {node: "b", want: domain.OutcomeUnknown, fault: func(b *bench) {
			b.network.Cut("a", "b")
		}},
		"after the holder died": {node: "b", fault: func(b *bench) {
			b.network.Crash("a")
			b.home.Kill(schedulertest.Member("a"))
		}},
		"and the holder dies later": {node: "b", fault: func(b *bench) {
			time.AfterFunc(2*time.Second, func() {
				b.network.Crash("a")
				b.home.Kill(schedulertest.Member("a"))
			})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(schedulertest.Script{}, scheduler.Options{})
				defer b.close()
				key := request("k").Key
				first := b.nodes["a"].Submit(request("k"))
				head, _ := readFrom(t, first, answer.Position{}, 4)
				assert.Equal(t, head, whole(key, 0, 4))
				first.Close()
				if test.fault != nil {
					test.fault(b)
				}
				time.Sleep(test.after)
				second := b.nodes[test.node].Submit(request("k"))
				defer second.Close()
				rest, end := readFrom(t, second, answer.Position{From: test.from}, 1<<62)
				assert.Equal(t, end.Outcome, test.want)
				if end.Complete() {
					assert.Equal(t, rest, whole(key, test.from, 10))
				}
				assert.DeepEqual(t, b.engine.Started(), []string{key.String()})
			})
		})
	}
}

// Two attempts at once at two nodes get the same answer, run once; a second body
// under the key gets neither.
func TestAttemptsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		handles := []*scheduler.Handle{
			b.nodes["a"].Submit(request("k")), b.nodes["b"].Submit(request("k")),
			b.nodes["a"].Submit(request("k")), b.nodes["b"].Submit(request("k")),
		}
		other := request("k")
		other.Fingerprint[0] = 1
		for _, node := range []domain.NodeID{"a", "b"} {
			_, end := readAll(t, b.nodes[node].Submit(other))
			assert.Equal(t, end.Code, answer.CodeKeyReused)
		}
		for _, handle := range handles {
			text, end := readAll(t, handle)
			assert.Assert(t, end.Complete())
			assert.Equal(t, text, whole(request("k").Key, 0, 10))
		}
		assert.Equal(t, len(b.engine.Started()), 1)
	})
}

// A node that stops while it follows another's answer knows nothing of the rest.
func TestFollowerStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		first := b.nodes["a"].Submit(request("k"))
		synctest.Wait()
		second := b.nodes["b"].Submit(request("k"))
		defer second.Close()
		time.Sleep(3500 * time.Millisecond)
		b.nodes["b"].Close()
		_, end := readFrom(t, second, answer.Position{}, 1<<62)
		assert.Equal(t, end.Outcome, domain.OutcomeUnknown)
		_, end = readAll(t, first)
		assert.Assert(t, end.Complete())
	})
}

// An attempt that follows another takes its turn when that one was not run,
// unless the caller had cancelled.
func TestFollowerTakesItsTurn(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(schedulertest.Script{}, scheduler.Options{})
			defer b.close()
			b.capacity.Block(true)
			hurried := request("k")
			hurried.Deadline = time.Second
			first := b.nodes["a"].Submit(hurried)
			synctest.Wait()
			second := b.nodes["b"].Submit(request("k"))
			synctest.Wait()
			b.capacity.Block(false)
			if cancelled {
				assert.NilError(t, b.nodes["b"].Cancel(t.Context(), request("k").Key))
			}
			_, end := readAll(t, first)
			assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
			text, end := readAll(t, second)
			if cancelled {
				assert.Equal(t, end.Code, answer.CodeCancelled)
				assert.Equal(t, len(b.engine.Started()), 0)
				return
			}
			assert.Assert(t, end.Complete(), end)
			assert.Equal(t, text, whole(request("k").Key, 0, 10))
			assert.Equal(t, len(b.engine.Started()), 1)
		})
	}
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

// A caller that comes back while its request is being given up gets its turn.
func TestBackWhileGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{Grace: time.Second})
		defer b.close()
		b.capacity.Block(true)
		b.home.Break(schedulertest.StepRelease, schedulertest.Fault{Delay: 2 * time.Second})
		first := b.nodes["a"].Submit(request("k"))
		synctest.Wait()
		first.Close()
		time.Sleep(2 * time.Second)
		b.capacity.Block(false)
		text, end := readAll(t, b.nodes["a"].Submit(request("k")))
		assert.Assert(t, end.Complete(), end)
		assert.Equal(t, text, whole(request("k").Key, 0, 10))
	})
}

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
				asked.NoReturn = test.noReturn
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
	b.home.Lose(schedulertest.Member("a"))
	other := b.nodes["b"].Submit(request("k"))
	t.Cleanup(other.Close)
	gone(31*time.Second)(t, b, handle)
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		a := b.nodes["a"]
		running := a.Submit(request("running"))
		left := a.Submit(request("left"))
		synctest.Wait()
		left.Close()
		drained := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			assert.Check(t, a.Drain(context.Background()))
			drained <- time.Since(began)
		}()
		synctest.Wait()
		// What is new is given up at the home, and runs at another node.
		_, end := readAll(t, a.Submit(request("new")))
		assert.Equal(t, end.Code, answer.CodeDraining)
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		text, end := readAll(t, b.nodes["b"].Submit(request("new")))
		assert.Assert(t, end.Complete())
		assert.Equal(t, text, whole(request("new").Key, 0, 10))
		// An attempt of what runs here still gets the answer, here and elsewhere.
		for _, handle := range []*scheduler.Handle{running, a.Submit(request("running")), b.nodes["b"].Submit(request("running"))} {
			text, end = readAll(t, handle)
			assert.Assert(t, end.Complete(), end)
			assert.Equal(t, text, whole(request("running").Key, 0, 10))
		}
		// The drain waits for the caller that is away.
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(drained), 0)
		text, _ = readAll(t, b.nodes["b"].Submit(request("left")))
		assert.Equal(t, text, whole(request("left").Key, 0, 10))
		time.Sleep(time.Second)
		assert.Equal(t, len(drained), 1)
		assert.Equal(t, len(b.engine.Started()), 3)
		assert.Equal(t, len(b.engine.Cancelled()), 0)
	})
}

// A full node makes room for a higher tier and refuses the others truthfully.
func TestFullNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(schedulertest.Script{}, scheduler.Options{MaxTasks: 2})
		defer b.close()
		low := request("low")
		low.Organisation = organisation(2)
		lowHandle := b.nodes["a"].Submit(low)
		middle := request("middle")
		middle.Organisation = organisation(1)
		middleHandle := b.nodes["a"].Submit(middle)
		synctest.Wait()
		same := request("same")
		same.Organisation = organisation(2)
		_, end := readAll(t, b.nodes["a"].Submit(same))
		assert.Equal(t, end.Outcome, domain.OutcomeUnknown)
		same.Minted = true
		_, end = readAll(t, b.nodes["a"].Submit(same))
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		_, end = readAll(t, b.nodes["a"].Submit(request("high")))
		assert.Assert(t, end.Complete())
		_, end = readAll(t, lowHandle)
		assert.Equal(t, end.Code, answer.CodePreempted)
		_, end = readAll(t, middleHandle)
		assert.Assert(t, end.Complete())
	})
}
