package gateway

import (
	"context"
	"errors"
	"net/http"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/poison"
)

// suspect returns what of the request may end endpoints. Before the service is chosen, it is the one that chooseService returns.
func (t *task) suspect() poison.Request {
	r := poison.Request{Scope: poison.Scope{Service: t.service, Model: t.call.Model}, Prompt: t.call.partHashes(), Content: t.contentHash}
	if r.Scope.Service == "" {
		r.Scope.Service = t.chooseService()
	}
	if t.organisation != nil {
		r.Scope.Organisation = t.organisation.ID
	}
	return r
}

var errPartRefused = errors.New("gateway: a part of the prompt ends endpoints")

func crashPartProblem() *problem {
	return &problem{
		Status: http.StatusServiceUnavailable, Title: "the content, or a part of the prompt, has ended the endpoints that ran it", Outcome: outcomeNotRun,
		RetryAfter: crashPartRetryAfter,
	}
}

// partRefused ends a request whose prompt is refused.
func (t *task) partRefused() attemptResult {
	return attemptResult{final: true, refusal: t.unknownIfMayHaveRun(crashPartProblem()), err: errPartRefused}
}

// acquireSlot waits for a slot until the request's prompt is refused.
func (t *task) acquireSlot() (*places.Place, error) {
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	defer t.watchPrompt(cancel)()
	return t.gateway.deps.Places.Acquire(ctx, t.slotRequest())
}

// watchPrompt calls cancel once the request's prompt is refused. The function that it returns ends the watch.
func (t *task) watchPrompt(cancel context.CancelCauseFunc) (stop func()) {
	return t.gateway.deps.CrashParts.Watch(t.suspect(), func() { cancel(errPartRefused) })
}

// unwatch ends the watch of the prompt: the answer has begun.
func (a *attempt) unwatch() {
	if a.stopWatch != nil {
		a.stopWatch()
	}
}

// recordBreak records that the endpoint broke off the answer.
func (a *attempt) recordBreak(cause error) {
	t := a.task
	if a.endpoint == nil || !errors.Is(cause, endpoint.ErrBroken) || linkSilent(cause) {
		return
	}
	t.gateway.deps.CrashParts.Broke(poison.Break{
		Request: t.suspect(), ID: t.call.ID, Events: a.eventCount, Endpoint: a.endpoint.Incarnation(), Address: a.endpoint.Address,
		StartedAt: a.started,
	})
}

// recordProgress records that the answer has got as far as the number of events tells, if that clears the request's content.
func (a *attempt) recordProgress() {
	if a.eventCount == poison.SoundEvents {
		a.task.recordSound()
	}
}

// recordSound records that the request's content does not crash endpoints.
func (t *task) recordSound() {
	t.gateway.deps.CrashParts.Sound(t.suspect())
}
