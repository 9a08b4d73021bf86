package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// keyBound is how long a key that was taken away may go on working.
	keyBound = 5 * time.Second
	// leaveBound is how long an endpoint that is leaving may still be sent requests, with no fault about.
	leaveBound = 3 * time.Second
)

var wholeStream = func() string {
	var text strings.Builder
	for i := range platformtest.StreamEvents {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return text.String()
}()

// check holds what callers and endpoints saw against the promises.
func (s *soak) check() {
	answered := 0
	for _, o := range s.record.outcomes {
		if o.status == http.StatusOK && o.err == nil {
			answered++
		}
		if wrong := s.wrong(o); wrong != "" {
			s.t.Errorf("%s\n%s\nlogs in %s", wrong, s.record.timeline(o), s.dir)
		}
	}
	s.checkLeaving()
	s.checkLimits()
	s.t.Logf("%d requests, %d answered, %d faults", len(s.record.outcomes), answered, len(s.record.faults))
	if answered == 0 {
		s.t.Error("no request was answered")
	}
	if !s.t.Failed() {
		_ = os.RemoveAll(s.dir)
	}
}

// runs counts the runs of a request at all endpoints that there ever were.
func (s *soak) runs(id string) int {
	n := 0
	for _, e := range s.everyEndpoint() {
		n += e.Runs(id)
	}
	return n
}

// wrong returns which promise was broken, empty if none was.
func (s *soak) wrong(o outcome) string {
	runs := s.runs(o.id)
	repeatable := o.path == "/chat/" || o.path == "/look/"
	whole := o.body == wholeStream
	if o.path == "/book/" || o.path == "/look/" {
		whole = o.body == "answer to "+o.id
	}
	revoked, taken := s.record.revoked[o.key]
	switch {
	case !repeatable && runs > 1:
		return fmt.Sprintf("a request that must not be repeated ran %d times", runs)
	case o.err == nil && o.status == http.StatusOK && !whole:
		return "an answer that looks complete is not whole"
	case (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && runs > 0:
		return "a request ran though its caller was told that it had not"
	case taken && runs > 0 && o.sent.After(revoked.Add(keyBound)):
		return "a request ran with a key that was taken away"
	case o.status == http.StatusUnauthorized && !taken:
		return "a key in force was refused"
	case o.status == http.StatusNotFound:
		return "a route was not known"
	case (o.err != nil && runs > 0 || o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout) && !s.record.excuses(o):
		return "a request failed with no fault about"
	}
	return ""
}

// checkLeaving looks for requests that were sent to endpoints long after they had said that they were leaving.
func (s *soak) checkLeaving() {
	for e, at := range s.left {
		late := e.LastAcceptedAt().Sub(at)
		if late <= leaveBound {
			continue
		}
		o := outcome{id: e.ID, sent: at, ended: e.LastAcceptedAt()}
		excused := false
		for _, f := range s.record.faults {
			excused = excused || f.what != "reload" && f.about(at, e.LastAcceptedAt(), settle)
		}
		if !excused {
			s.t.Errorf("endpoint %s was sent a request %v after it had said that it was leaving\n%s", e.ID, late, s.record.timeline(o))
		}
	}
}
