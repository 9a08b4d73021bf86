package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// versionStream separates the draws of software versions from the others.
const versionStream = 4

// servingPeriod is the time in which an endpoint served. It is impaired if a fault other than its end befell it.
type servingPeriod struct {
	from, to time.Time
	impaired bool
}

func (p *servingPeriod) covers(from, to time.Time) bool {
	return !p.impaired && p.from.Before(from) && (p.to.IsZero() || p.to.After(to))
}

// nextVersion is the software version of the endpoint that replaces one: the same, another that serves, or a new one. The lock is
// held.
func (s *soak) nextVersion(old *platformtest.Endpoint) string {
	draw := s.versions.IntN(6)
	switch {
	case old.Service != "llm" || draw < 3:
		return old.Version
	case draw < 5:
		return fmt.Sprint("v", 1+s.versions.IntN(s.lastVersion))
	default:
		s.lastVersion++
		return fmt.Sprint("v", s.lastVersion)
	}
}

const (
	// settleTime is the time after which the nodes know of an endpoint's start, and before which they may know of its end.
	settleTime = time.Second
	// resumptionWindow is the window of the check of streams that continue, minResumptions the number of resumptions from
	// which it applies.
	resumptionWindow = 10 * time.Second
	minResumptions   = 12
)

// checkStreams fails the test if a stream has events of two software versions or an endpoint of another version continued it,
// or if resumptions are served less than half as often as new streams begin.
func (s *soak) checkStreams() {
	mixed, resumed := 0, 0
	runs := s.continuations()
	for _, st := range s.history.streams {
		if len(st.tries) > 1 {
			resumed++
		}
		if violation := st.versionViolation(runs); violation != "" {
			mixed++
			if mixed <= 3 {
				s.t.Errorf("%s\n%s\nlogs in %s", violation, st.describe(s.history), s.dir)
			}
		}
	}
	if mixed > 0 {
		s.t.Errorf("%d of %d streams, %d resumed, are of two software versions; logs in %s", mixed, len(s.history.streams), resumed, s.dir)
	}
	s.checkResumptions()
}

// continuations returns the versions of the endpoints at which each request continued a stream.
func (s *soak) continuations() map[string][]string {
	versions := make(map[string][]string)
	for _, e := range s.allEndpoints() {
		for _, a := range e.Arrivals() {
			if a.LastEventID != "" && !a.Refused {
				versions[a.ID] = append(versions[a.ID], e.Version)
			}
		}
	}
	return versions
}

// versionViolation describes how the stream mixes versions, empty if it does not.
func (st *stream) versionViolation(continuations map[string][]string) string {
	next := 1
	for _, o := range st.tries {
		events, _ := platformtest.ParseEvents(o.body)
		for _, e := range events {
			if e.ID != next {
				return fmt.Sprintf("event %d follows event %d", e.ID, next-1)
			}
			if e.Version != st.began {
				return fmt.Sprintf("a stream that began at version %s has event %d of version %s", st.began, e.ID, e.Version)
			}
			next++
		}
		for _, version := range continuations[o.id] {
			if st.began != "" && version != st.began {
				return fmt.Sprintf("a stream that began at version %s went on at an endpoint of version %s", st.began, version)
			}
		}
	}
	return ""
}

// describe lists the stream's requests.
func (st *stream) describe(h *history) string {
	var lines []string
	for _, o := range st.tries {
		events, _ := platformtest.ParseEvents(o.body)
		lines = append(lines, fmt.Sprintf("%7.3f to %7.3f %s at %s after event %d: %d, %d events, come back in %v, %v", o.sent.Sub(h.started).Seconds(),
			o.ended.Sub(h.started).Seconds(), o.id, o.node, o.lastEvent, o.status, len(events), o.retryAfter, o.err))
	}
	return strings.Join(lines, "\n")
}

// resumptions counts resumptions and new streams.
type resumptions struct {
	taken, wentOn, sent, began int
}

// insufficient reports whether the share of the streams that continue is less than half of the share of new streams that begin.
func (t resumptions) insufficient() bool {
	return t.taken >= minResumptions && t.sent > 0 && 2*t.wentOn*t.sent < t.began*t.taken
}

func (t resumptions) String() string {
	return fmt.Sprintf("%d of %d resumptions went on, %d of %d new streams began", t.wentOn, t.taken, t.began, t.sent)
}

// sample is a request of a stream at a node without a fault of its own.
type sample struct {
	sent time.Time
	// resumes is true if the request resumes the stream, false if it is the first one. afterKill is true if the node that served
	// the first one was killed meanwhile.
	resumes, afterKill, served bool
}

// checkResumptions checks the streams that continue, over the whole run and over each window.
func (s *soak) checkResumptions() {
	samples := s.samples()
	whole := tally(samples)
	killed := tally(slices.DeleteFunc(slices.Clone(samples), func(p sample) bool { return p.resumes && !p.afterKill }))
	s.t.Logf("%v; of killed nodes: %v", whole, killed)
	if whole.insufficient() || killed.insufficient() {
		s.t.Errorf("in the whole run %v; of killed nodes: %v; logs in %s", whole, killed, s.dir)
	}
	for i, first := range samples {
		window := samples[i:]
		if end := slices.IndexFunc(window, func(p sample) bool { return p.sent.Sub(first.sent) > resumptionWindow }); end >= 0 {
			window = window[:end]
		}
		if t := tally(window); t.insufficient() {
			s.t.Errorf("from %.3f s on %v\n%s\nlogs in %s", first.sent.Sub(s.history.started).Seconds(), t,
				s.history.timeline(outcome{sent: first.sent, ended: first.sent.Add(resumptionWindow)}), s.dir)
			return
		}
	}
}

func tally(samples []sample) resumptions {
	var t resumptions
	for _, p := range samples {
		if p.resumes {
			t.taken++
			t.wentOn += count(p.served)
		} else {
			t.sent++
			t.began += count(p.served)
		}
	}
	return t
}

// samples returns the requests of streams to nodes without a fault of their own, by time. Resumptions count only
// while two endpoints of its version serve.
func (s *soak) samples() []sample {
	var samples []sample
	for _, st := range s.history.streams {
		for i, o := range st.tries {
			if o.status == http.StatusUnauthorized || s.history.disturbed(o.node, o.sent, o.ended) ||
				i > 0 && s.servedBy(st.began, o.sent, o.ended) < 2 {
				continue
			}
			events, _ := platformtest.ParseEvents(o.body)
			served := len(events) > 0 || o.status == http.StatusOK && o.err == nil
			samples = append(samples, sample{
				sent: o.sent, resumes: i > 0, afterKill: s.history.killed(st.tries[0].node, st.tries[0].sent, o.sent), served: served,
			})
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return a.sent.Compare(b.sent) })
	return samples
}

// killed reports whether the node was killed in the period.
func (h *history) killed(node string, from, to time.Time) bool {
	return slices.ContainsFunc(h.faults, func(f *fault) bool {
		return f.kind == "kill" && f.node == node && f.from.After(from) && f.from.Before(to)
	})
}

func count(counts bool) int {
	if counts {
		return 1
	}
	return 0
}

// servedBy returns the number of endpoints of the version that served all the time.
func (s *soak) servedBy(version string, from, to time.Time) int {
	n := 0
	for e, period := range s.serving {
		if e.Service == "llm" && e.Version == version && period.covers(from.Add(-settleTime), to.Add(settleTime)) {
			n++
		}
	}
	return n
}

// impair records that a fault befalls the endpoint.
func (s *soak) impair(e *platformtest.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving[e].impaired = true
}
