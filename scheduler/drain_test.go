package scheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{})
		defer b.close()
		a := b.nodes["a"]
		running := a.Submit(request("running"))
		disconnected := a.Submit(request("left"))
		synctest.Wait()
		disconnected.Close()
		drained := make(chan time.Duration, 1)
		start := time.Now()
		go func() {
			assert.Check(t, a.Drain(context.Background()))
			drained <- time.Since(start)
		}()
		synctest.Wait()
		// A new request is released at the home and runs at another node.
		_, end := readAll(t, a.Submit(request("new")))
		assert.Equal(t, end.Code, answer.CodeDraining)
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		text, end := readAll(t, b.nodes["b"].Submit(request("new")))
		assert.Assert(t, end.Complete())
		assert.Equal(t, text, expectedText(request("new").Key, 0, 10))
		// Further attempts of a running request still receive the answer, at this
		// node and at another.
		for _, handle := range []*scheduler.Handle{running, a.Submit(request("running")), b.nodes["b"].Submit(request("running"))} {
			text, end = readAll(t, handle)
			assert.Assert(t, end.Complete(), end)
			assert.Equal(t, text, expectedText(request("running").Key, 0, 10))
		}
		// Drain waits for the disconnected caller.
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(drained), 0)
		text, _ = readAll(t, b.nodes["b"].Submit(request("left")))
		assert.Equal(t, text, expectedText(request("left").Key, 0, 10))
		time.Sleep(time.Second)
		assert.Equal(t, len(drained), 1)
		assert.Equal(t, len(b.engine.Started()), 3)
		assert.Equal(t, len(b.engine.Cancelled()), 0)
	})
}

// A node at MaxTasks cancels a lower-tier request to admit one of a higher tier. It
// refuses others with not_run only if their key was generated for the attempt, and
// with unknown otherwise.
func TestFullNodePreemptsLowerTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{}, scheduler.Options{MaxTasks: 2})
		defer b.close()
		lowTier := request("low")
		lowTier.Organisation = organisation(2)
		lowHandle := b.nodes["a"].Submit(lowTier)
		middleTier := request("middle")
		middleTier.Organisation = organisation(1)
		middleHandle := b.nodes["a"].Submit(middleTier)
		synctest.Wait()
		sameTier := request("same")
		sameTier.Organisation = organisation(2)
		_, end := readAll(t, b.nodes["a"].Submit(sameTier))
		assert.Equal(t, end.Outcome, domain.OutcomeUnknown)
		sameTier.GeneratedKey = true
		_, end = readAll(t, b.nodes["a"].Submit(sameTier))
		assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
		_, end = readAll(t, b.nodes["a"].Submit(request("high")))
		assert.Assert(t, end.Complete())
		_, end = readAll(t, lowHandle)
		assert.Equal(t, end.Code, answer.CodePreempted)
		_, end = readAll(t, middleHandle)
		assert.Assert(t, end.Complete())
	})
}
