package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// maxRevocationDelay bounds the time for which a revoked key may still be accepted.
	maxRevocationDelay = 5 * time.Second
	// maxDrainDelay bounds the time for which a draining endpoint may still receive requests while no fault is active.
	maxDrainDelay = 3 * time.Second
)

// notRunStatuses are the statuses that promise that the request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// completes reports whether the body has all events of a stream after the given one, and nothing else.
func (s *soak) completes(body string, after int) bool {
	events, rest := platformtest.ParseEvents(body)
	for i, e := range events {
		if e.ID != after+i+1 {
			return false
		}
	}
	return rest == "" && after+len(events) == s.streamEvents
}

// check verifies the guarantees against what callers and endpoints observed.
func (s *soak) check() {
	answered, unread := 0, 0
	for _, o := range s.history.outcomes {
		if o.status == http.StatusRequestTimeout {
			unread++
		}
		if o.status == http.StatusOK && o.err == nil {
			answered++
		}
		if violation := s.violation(o); violation != "" {
			s.t.Errorf("%s\n%s\nlogs in %s", violation, s.history.timeline(o), s.dir)
		}
	}
	for _, n := range s.nodes {
		if n.unexpectedExits > 0 {
			s.t.Errorf("%s exited %d times without a signal that ends it\n%s\nlogs in %s", n.name, n.unexpectedExits, s.history.timeline(outcome{node: n.name}), s.dir)
		}
	}
	s.checkDraining()
	s.checkLimits()
	s.checkNotices()
	s.checkCuts()
	s.checkBrittle()
	s.checkStreams()
	s.checkCrashParts()
	s.t.Logf("%d requests, %d answered, %d not read before a close, %d faults", len(s.history.outcomes), answered, unread, len(s.history.faults))
	if answered == 0 {
		s.t.Error("no request was answered")
	}
	if !s.t.Failed() {
		_ = os.RemoveAll(s.dir)
	}
}

// runs returns how often a request ran, over all endpoints created during the soak.
func (s *soak) runs(id string) int {
	n := 0
	for _, e := range s.allEndpoints() {
		n += e.Runs(id)
	}
	return n
}

// violation describes the guarantee that the outcome violates; empty if there is none.
func (s *soak) violation(o outcome) string {
	runs := s.runs(o.id)
	repeatable := o.path == "/chat/" || o.path == "/look/"
	complete := s.completes(o.body, o.lastEvent)
	if o.path == "/book/" || o.path == "/look/" {
		complete = o.body == "answer to "+o.id
	}
	left := o.leaveAfter > 0 && o.err != nil
	revokedAt, isRevoked := s.history.revoked[o.key]
	switch {
	case !repeatable && runs > 1:
		return fmt.Sprintf("a non-repeatable request ran %d times", runs)
	case errors.Is(o.err, httpresponse.ErrMalformed):
		return "a malformed response reached a caller"
	case o.err == nil && o.status == http.StatusOK && !complete:
		return "a response with status 200 and no read error has an incomplete or wrong body"
	case slices.Contains(notRunStatuses, o.status) && runs > 0:
		return fmt.Sprintf("a request ran although its caller received %d", o.status)
	case isRevoked && runs > 0 && o.sent.After(revokedAt.Add(maxRevocationDelay)):
		return "a request with a revoked key ran"
	case o.status == http.StatusUnauthorized && !isRevoked:
		return "a valid key was refused"
	case o.err != nil && o.connected && runs == 0 && !s.history.explainsCut(o):
		return "a connection was cut before the request was dispatched"
	case o.status == http.StatusNotFound:
		return "a configured route was not found"
	case !left && (o.err != nil && runs > 0 || o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout) && !s.history.explainsFailure(o):
		return "a request failed while no fault was active"
	}
	return ""
}

// checkDraining fails the test if an endpoint received a request later than maxDrainDelay after it was marked as draining,
// unless a fault of the sending node or of the store explains it.
func (s *soak) checkDraining() {
	for e, since := range s.drainingSince {
		for _, a := range e.Arrivals() {
			delay := a.At.Sub(since)
			if delay <= maxDrainDelay || a.Refused || s.history.explainsLateDrain(s.sender(e, a), since, a.At) {
				continue
			}
			o := outcome{id: a.ID, node: s.sender(e, a), sent: since, ended: a.At}
			s.t.Errorf("endpoint %s received a request %v after it was marked as draining\n%s\nlogs in %s", e.ID, delay, s.history.timeline(o), s.dir)
		}
	}
}
