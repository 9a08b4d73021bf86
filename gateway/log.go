package gateway

import (
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Results of requests, as written to logs and metrics.
const (
	resultAnswered   = "answered"
	resultRefused    = "refused"
	resultUnknown    = "unknown"
	resultCallerGone = "caller_gone"
	resultBroken     = "broken_off"
)

func (r attemptResult) result() string {
	switch {
	case errors.Is(r.err, errCallerGone):
		return resultCallerGone
	case r.abort:
		return resultBroken
	case r.refusal == nil:
		return resultAnswered
	case r.refusal.Outcome == outcomeUnknown:
		return resultUnknown
	default:
		return resultRefused
	}
}

// logNotSent writes the log line of a place that was given back before anything was sent.
func (t *task) logNotSent(endpoint domain.EndpointID, waited time.Duration, cause error) {
	t.gateway.deps.Log.Info().Str("request", t.call.ID).Str("endpoint", string(endpoint)).
		Dur("waited_ms", waited).Err(cause).Msg("endpoint closed before the request was sent")
}

// logEnd writes the log line and updates the metrics of a completed request.
func (t *task) logEnd(r attemptResult) {
	g := t.gateway
	total := time.Since(t.started)
	kind := "none"
	line := g.deps.Log.Info().Str("request", t.call.ID).Str("result", r.result()).Uint64("version", t.configVersion).
		Dur("knowledge_age_ms", g.deps.Config.Age(g.deps.Clock()))
	if t.route != nil {
		kind = t.route.Kind.String()
		line.Str("route", t.route.Name).Str("service", t.service)
	}
	if t.forwarded != nil {
		line.Str("forwarded_by", string(t.forwarded.From))
	}
	if t.call.Resumes != "" || t.call.LastEventID != "" {
		line.Str("resumes", t.call.Resumes).Str("last_event", t.call.LastEventID)
	}
	if len(t.helpersTried) > 0 {
		line.Int("forwards", len(t.helpersTried))
	}
	if t.organisation != nil {
		line.Str("organisation", string(t.organisation.ID))
	}
	status := r.status
	if t.mayHaveRun && (r.abort || r.refusal != nil) {
		line.Strs("prompt_parts", t.call.partNames())
	}
	if r.refusal != nil {
		status = r.refusal.Status
		line.Str("reason", r.refusal.Title).Dur("retry_after_ms", r.refusal.RetryAfter)
		line.AnErr("cause", r.refusal.Cause)
	}
	line.Int("status", status).Str("endpoint", string(t.endpoint)).Str("software_version", t.softwareVersion).Int("sends", t.dispatches).Bool("unacknowledged", t.unacknowledged).
		Dur("waited_ms", t.slotWait).Int("endpoint_load", t.endpointLoad).Dur("load_age_ms", t.endpointLoadAge).
		Float64("endpoint_limit", t.endpointLimit).Dur("endpoint_token_ms", t.tokenTime).Int("prompt_tokens", t.call.PromptTokens).
		Int("answer_tokens", t.call.AnswerTokens()).Dur("waited_before_ms", t.waitedBefore).
		Dur("first_ms", t.timeToFirstEvent).Dur("longest_gap_ms", t.longestGap).Dur("total_ms", total).Int("events", t.eventCount).AnErr("error", r.err).Msg("request ended")
	g.metrics.recordRequest(kind, r.result(), t.timeToFirstEvent, total)
}
