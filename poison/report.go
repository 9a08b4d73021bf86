package poison

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/gossip"
)

// FillReport adds this node's latest evidence and all identifications to a report.
func (t *Tracker) FillReport(report *gossip.Report) {
	set := *t.verdicts.Load()
	report.PartsDigest = set.digest()
	now := time.Now()
	for _, v := range set {
		report.CrashParts = append(report.CrashParts, gossip.CrashParts{
			Scope: v.scope, Parts: v.parts, AgeMillis: now.Sub(v.at).Milliseconds(), Cleared: v.cleared,
		})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.soundParts, t.alive = recent(now, t.soundParts), recent(now, t.alive)
	for _, s := range t.soundParts {
		report.SoundParts = append(report.SoundParts, gossip.SoundPart{Scope: s.value.scope, Part: s.value.part, AgeMillis: now.Sub(s.at).Milliseconds()})
	}
	for _, a := range t.alive {
		report.Alive = append(report.Alive, gossip.AliveEndpoint{Endpoint: a.value, AgeMillis: now.Sub(a.at).Milliseconds()})
	}
	for i := len(t.records) - 1; i >= 0 && len(report.EndedAnswers) < maxReported; i-- {
		if r := &t.records[i]; r.own && r.confirmed && now.Sub(r.endedAt) < reportPeriod {
			report.EndedAnswers = append(report.EndedAnswers, r.encode(now))
		}
	}
}

// recent returns the latest values, as many as a report may have.
func recent[T comparable](now time.Time, list []timed[T]) []timed[T] {
	list = slices.DeleteFunc(list, func(v timed[T]) bool { return now.Sub(v.at) >= reportPeriod })
	return list[max(len(list)-maxReported, 0):]
}

func (r *record) encode(now time.Time) gossip.EndedAnswer {
	return gossip.EndedAnswer{
		Scope: r.scope, Service: r.service, Parts: r.parts, Request: r.request, Endpoint: r.endpoint, AgeMillis: now.Sub(r.endedAt).Milliseconds(),
		TookMillis: r.endedAt.Sub(r.startedAt).Milliseconds(), Early: r.early,
	}
}

// ApplyReport records the evidence and the identifications in another node's report.
func (t *Tracker) ApplyReport(report *gossip.Report) {
	now := time.Now()
	for _, p := range report.CrashParts {
		t.applyVerdict(now, report, p)
	}
	if len(report.EndedAnswers)+len(report.SoundParts)+len(report.Alive) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range report.Alive {
		if at, ok := instant(now, a.AgeMillis); ok && at.After(t.answered[a.Endpoint]) {
			t.recordAnswer(a.Endpoint, at)
			t.refute(a.Endpoint, at)
		}
	}
	for _, a := range report.EndedAnswers {
		t.applyEndedAnswer(now, a)
	}
	for _, s := range report.SoundParts {
		if at, ok := instant(now, s.AgeMillis); ok {
			t.clear(partKey{s.Scope, s.Part}, at)
		}
	}
}

// instant returns the time that was so many milliseconds ago, false if that is no age of recent evidence.
func instant(now time.Time, ageMillis int64) (time.Time, bool) {
	age := time.Duration(ageMillis) * time.Millisecond
	return now.Add(-age), ageMillis >= 0 && age < recordRetention
}

// applyVerdict merges an identification of another node.
func (t *Tracker) applyVerdict(now time.Time, report *gossip.Report, p gossip.CrashParts) {
	age := time.Duration(p.AgeMillis) * time.Millisecond
	if age < 0 || age >= retention || len(p.Parts) == 0 || len(p.Parts) > maxVerdictParts || !slices.IsSorted(p.Parts) {
		t.config.Log.Warn().Str("peer", string(report.From)).Int("parts", len(p.Parts)).Int64("age_ms", p.AgeMillis).Msg("malformed identification of parts of prompts")
		return
	}
	v := verdict{scope: p.Scope, parts: p.Parts, at: now.Add(-age), cleared: p.Cleared}
	old, known := (*t.verdicts.Load())[v.id()]
	if t.merge(now, v) && (!known || old.cleared != v.cleared) {
		t.config.Log.Info().Str("peer", string(report.From)).Uint64("scope", v.scope).Strs("prompt_parts", names(v.parts)).Bool("cleared", v.cleared).
			Dur("age_ms", age).Msg("identification of parts of prompts received")
	}
}

// applyEndedAnswer adds a broken answer of another node, unless this one knows better. The lock is held.
func (t *Tracker) applyEndedAnswer(now time.Time, a gossip.EndedAnswer) {
	endedAt, ok := instant(now, a.AgeMillis)
	if !ok || a.TookMillis < 0 || len(a.Parts) > maxParts {
		t.config.Log.Warn().Int64("age_ms", a.AgeMillis).Int64("took_ms", a.TookMillis).Int("parts", len(a.Parts)).Msg("malformed evidence on parts of prompts")
		return
	}
	r := record{
		scope: a.Scope, service: a.Service, request: a.Request, endpoint: a.Endpoint, endedAt: endedAt,
		startedAt: endedAt.Add(-time.Duration(min(a.TookMillis, recordRetention.Milliseconds())) * time.Millisecond), confirmed: true,
		early: a.Early,
	}
	known := slices.ContainsFunc(t.records, func(o record) bool { return o.endpoint == r.endpoint && o.request == r.request })
	if known || t.answered[r.endpoint].After(endedAt.Add(clockMargin)) {
		return
	}
	for _, part := range a.Parts {
		if t.cleared[partKey{r.scope, part}].Before(endedAt) {
			r.parts = append(r.parts, part)
		}
	}
	t.add(r)
	t.confirm(r.endpoint)
}
