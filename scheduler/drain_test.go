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
		same.GeneratedKey = true
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
