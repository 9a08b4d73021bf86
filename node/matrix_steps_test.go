package node

import (
	"context"
	"strings"
	"sync"
	"time"
)

// step is a point in the course of a trial at which a fault is injected.
type step struct {
	name string
	// matches reports whether the event marks the step. It is nil for steps that are
	// not marked by an event: stepReceive, which hookedBody reports, and the start of a
	// drain.
	matches func(x *trial, e event) bool
	// prepare runs before the request is sent, if set.
	prepare func(x *trial, group *sync.WaitGroup)
	// delay is the time from the event to the fault.
	delay time.Duration
	// run performs the operation that the step belongs to, until its end.
	run func(x *trial)
}

const stepReceive = "receive"

// atEntry matches an event of the entry node by name.
func atEntry(name string) func(*trial, event) bool {
	return func(x *trial, e event) bool { return e.node == x.entry && e.name == name }
}

// ofKey matches an event of the request by name and offset.
func ofKey(name string, offset uint64) func(*trial, event) bool {
	return func(x *trial, e event) bool {
		return e.name == name && e.offset == offset && (e.key == x.key || strings.HasSuffix(e.key, ":"+x.key))
	}
}

// requestSteps returns the steps of a request, in order.
func requestSteps() []*step {
	steps := []*step{
		{name: stepReceive},
		{name: "claim", matches: atEntry("ledger.claim")},
		{name: "queue", matches: atEntry("capacity.ask done"), prepare: fillEngines, delay: 200 * time.Millisecond},
		{name: "grant", matches: atEntry("capacity.ask done")},
		{name: "commit", matches: atEntry("ledger.commit")},
		{name: "dispatch", matches: ofKey(eventStart, 0)},
		{name: "first token", matches: ofKey(eventToken, 0)},
		{name: "mid-stream", matches: ofKey(eventToken, midOffset)},
		{name: "finish", matches: atEntry("ledger.finish")},
		{name: "answer delivered", matches: ofKey(eventWrite, 0)},
	}
	for _, s := range steps {
		s.run = (*trial).runRequest
	}
	replay := &step{name: "replay", run: (*trial).runReplay, matches: func(x *trial, e event) bool {
		return e.node == x.far && e.name == "answer.read"
	}}
	return append(steps, replay)
}

// fillEngines occupies all slots, so that the request is queued.
func fillEngines(x *trial, group *sync.WaitGroup) {
	x.callers("filler", "showrooms", 16, group)
	time.Sleep(100 * time.Millisecond)
}

// observeStep arranges for the fault to be injected at the step.
func (x *trial) observeStep() {
	if x.step.matches == nil {
		return
	}
	x.setObserver(func(e event) {
		if !x.step.matches(x, e) || x.faultStarted.Load() {
			return
		}
		if x.step.delay > 0 {
			time.AfterFunc(x.step.delay, x.beginFault)
			return
		}
		x.beginFault()
	})
}

// runRequest sends the request, along with those of other callers, until all have a
// final outcome.
func (x *trial) runRequest() {
	var group sync.WaitGroup
	if x.step.prepare != nil {
		x.step.prepare(x, &group)
	}
	x.callers("beside", "fitters-west", 2, &group)
	x.callers("beside", "drafts", 2, &group)
	x.observeStep()
	x.run(x.newCall(), 0)
	x.awaitFault()
	group.Wait()
}

// runReplay waits for the request to be answered and sends it again to another node.
func (x *trial) runReplay() {
	var group sync.WaitGroup
	x.run(x.newCall(), 0)
	x.callers("beside", "fitters-west", 2, &group)
	x.observeStep()
	x.run(x.newCall(), 2)
	x.awaitFault()
	group.Wait()
}

// newCall returns a new call with the trial's key.
func (x *trial) newCall() *call {
	k := &call{org: "showrooms", key: x.key, prompt: x.prompt}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls = append(x.calls, k)
	return k
}

// awaitFault waits until the fault has ended and then sends the key once more.
func (x *trial) awaitFault() {
	select {
	case <-x.faultEnded:
	case <-time.After(stepTimeout):
		x.setObserver(nil)
		x.fail("the step was not reached")
		return
	}
	x.faultTasks.Wait()
	x.run(x.newCall(), 3)
}

// stepTimeout bounds the time until the step is reached and its fault has ended.
const stepTimeout = time.Minute

// trialTimeout bounds a trial, in virtual time.
const trialTimeout = 10 * time.Minute

// background starts the checks that run during the trial. The returned function
// stops them.
func (x *trial) background() (stop func()) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	var group sync.WaitGroup
	group.Go(func() { x.watchConfiguration(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}
