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

func TestReconnect(t *testing.T) {
	tests := map[string]struct {
		node  domain.NodeID
		after time.Duration
		fault func(*cluster)
		from  uint64
		want  domain.Outcome
	}{
		"at the same node":                  {node: "a", from: 4},
		"at another node":                   {node: "b", from: 4},
		"at another node, from the start":   {node: "b"},
		"after the answer is finished":      {node: "b", after: 15 * time.Second},
		"while the answer is cached":        {node: "b", after: 5 * time.Minute},
		"after the answer has been evicted": {node: "b", after: 11 * time.Minute, want: domain.OutcomeRan},
		"while the holder is partitioned": {node: "b", want: domain.OutcomeUnknown, fault: func(b *cluster) {
			b.network.Cut("a", "b")
		}},
		"after the holder crashed": {node: "b", fault: func(b *cluster) {
			b.network.Crash("a")
			b.home.Kill(schedulertest.NewMember("a"))
		}},
		"before the holder crashes": {node: "b", fault: func(b *cluster) {
			time.AfterFunc(2*time.Second, func() {
				b.network.Crash("a")
				b.home.Kill(schedulertest.NewMember("a"))
			})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(schedulertest.Script{}, scheduler.Options{})
				defer b.close()
				key := request("k").Key
				first := b.nodes["a"].Submit(request("k"))
				prefix, _ := readFrom(t, first, answer.Position{}, 4)
				assert.Equal(t, prefix, expectedText(key, 0, 4))
				first.Close()
				if test.fault != nil {
					test.fault(b)
				}
				time.Sleep(test.after)
				second := b.nodes[test.node].Submit(request("k"))
				defer second.Close()
				suffix, end := readFrom(t, second, answer.Position{From: test.from}, 1<<62)
				assert.Equal(t, end.Outcome, test.want)
				if end.Complete() {
					assert.Equal(t, suffix, expectedText(key, test.from, 10))
				}
				assert.DeepEqual(t, b.engine.Started(), []string{key.String()})
			})
		})
	}
}

// Concurrent attempts at two nodes receive the same answer, which is generated once.
// An attempt with another body under the same key is refused.
func TestConcurrentAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{})
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
			assert.Equal(t, text, expectedText(request("k").Key, 0, 10))
		}
		assert.Equal(t, len(b.engine.Started()), 1)
	})
}

// A node that is closed while it follows another node's answer reports the outcome as
// unknown.
func TestFollowerStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{})
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

// A following attempt runs the request itself when the followed one ends as not_run,
// unless the caller cancelled the request.
func TestFollowerRunsAfterNotRun(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newCluster(schedulertest.Script{}, scheduler.Options{})
			defer b.close()
			b.capacity.Block(true)
			shortDeadline := request("k")
			shortDeadline.Deadline = time.Second
			first := b.nodes["a"].Submit(shortDeadline)
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
			assert.Equal(t, text, expectedText(request("k").Key, 0, 10))
			assert.Equal(t, len(b.engine.Started()), 1)
		})
	}
}

// A caller that reconnects while its earlier attempt is still being released gets the
// request run.
func TestReconnectDuringRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{DisconnectGrace: time.Second})
		defer b.close()
		b.capacity.Block(true)
		b.home.InjectFault(schedulertest.OpRelease, schedulertest.Fault{Delay: 2 * time.Second})
		first := b.nodes["a"].Submit(request("k"))
		synctest.Wait()
		first.Close()
		time.Sleep(2 * time.Second)
		b.capacity.Block(false)
		text, end := readAll(t, b.nodes["a"].Submit(request("k")))
		assert.Assert(t, end.Complete(), end)
		assert.Equal(t, text, expectedText(request("k").Key, 0, 10))
	})
}
