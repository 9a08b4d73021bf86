package gateway

import (
	"errors"
	"time"
)

// Results of requests in logs and metrics.
const (
	resultAnswered   = "answered"
	resultRefused    = "refused"
	resultUnknown    = "unknown"
	resultCallerGone = "caller_gone"
	resultBroken     = "broken_off"
)

func (s step) result() string {
	switch {
	case errors.Is(s.err, errCallerGone):
		return resultCallerGone
	case s.abort:
		return resultBroken
	case s.refusal == nil:
		return resultAnswered
	case s.refusal.Outcome == outcomeUnknown:
		return resultUnknown
	default:
		return resultRefused
	}
}

// logEnd writes the one line that each request gets at its end.
func (t *task) logEnd(s step) {
	g := t.gateway
	total := time.Since(t.started)
	kind := "none"
	line := g.parts.Log.Info().Str("request", t.call.ID).Str("result", s.result()).Uint64("version", t.version).
		Dur("knowledge_age_ms", g.parts.Config.Age(g.parts.Clock()))
	if t.route != nil {
		kind = t.route.Kind.String()
		line.Str("route", t.route.Name).Str("service", t.service)
	}
	if t.organisation != nil {
		line.Str("organisation", string(t.organisation.ID))
	}
	status := s.status
	if s.refusal != nil {
		status = s.refusal.Status
		line.Str("reason", s.refusal.Title).Dur("retry_after_ms", s.refusal.RetryAfter)
		line.AnErr("cause", s.refusal.Cause)
	}
	line.Int("status", status).Str("endpoint", string(t.endpoint)).Int("sends", t.sends).Bool("unacknowledged", t.unacknowledged).
		Dur("waited_ms", t.waited).Int("endpoint_load", t.load).Dur("load_age_ms", t.loadAge).
		Float64("endpoint_limit", t.endpointLimit).Dur("endpoint_token_ms", t.tokenTime).Int("prompt_tokens", t.call.PromptTokens).
		Int("answer_tokens", t.call.AnswerTokens()).Dur("waited_before_ms", t.waitedBefore).
		Dur("first_ms", t.first).Dur("longest_gap_ms", t.gap).Dur("total_ms", total).Int("events", t.events).AnErr("error", s.err).Msg("request ended")
	g.metrics.ended(kind, s.result(), t.first, total)
}
