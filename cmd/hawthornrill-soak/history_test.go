package soak

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// fault is the period in which a fault was active at one node, or at all nodes if node is empty.
type fault struct {
	kind     string
	node     string
	from, to time.Time
}

// overlaps reports whether the fault, extended by the recovery time, overlaps the period between from and to.
func (f *fault) overlaps(from, to time.Time, recovery time.Duration) bool {
	return f.from.Before(to) && (f.to.IsZero() || f.to.Add(recovery).After(from))
}

// outcome is the result of a request as its caller observed it.
type outcome struct {
	id, node, key, path string
	// content is the request's body, prompt the parts of a model request's prompt.
	content     string
	prompt      []string
	sent, ended time.Time
	status      int
	body        string
	err         error
	// connected is true if the request had a connection, connectionIdle is how long that had been unused.
	connected      bool
	connectionIdle time.Duration
	// lastEvent is the last event that the caller had of a stream, resumes the attempt that had brought its first one.
	lastEvent int
	resumes   string
	// retryAfter is when the caller was asked to come back, zero if it was not.
	retryAfter time.Duration
	// leaveAfter is the number of events after which the caller loses its connection, zero if it does not.
	leaveAfter int
}

// history records all faults, outcomes and revoked keys of a run.
type history struct {
	mu       sync.Mutex
	started  time.Time
	faults   []*fault
	outcomes []outcome
	streams  []*stream
	revoked  map[string]time.Time
}

// beginFault records the start of a fault; the returned function records its end.
func (h *history) beginFault(kind, node string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := &fault{kind: kind, node: node, from: time.Now()}
	h.faults = append(h.faults, f)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		f.to = time.Now()
	}
}

func (h *history) addOutcome(o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

// faultRecoveryTime is the time after a fault during which its effects still explain failures: dead connections are being
// detected and failed endpoints are tried again.
const faultRecoveryTime = 5 * time.Second

// explainsFailure reports whether a fault may explain a failed request. A graceful stop or a reload of its node does not.
func (h *history) explainsFailure(o outcome) bool {
	for _, f := range h.faults {
		if f.kind == "stop" || f.kind == "reload" || f.kind == "pause" || (f.node != "" && f.node != o.node) {
			continue
		}
		if f.overlaps(o.sent, o.ended, faultRecoveryTime) {
			return true
		}
	}
	return false
}

// explainsLateDrain reports whether a fault may have kept the node from learning that an endpoint is draining: one of its own,
// or of the store. A reload explains nothing.
func (h *history) explainsLateDrain(node string, since, arrival time.Time) bool {
	for _, f := range h.faults {
		own := f.node == node && f.kind != "reload"
		if (own || f.kind == "store fails") && f.overlaps(since, arrival, faultRecoveryTime) {
			return true
		}
	}
	return false
}

// frozenSince returns for how long a node has been frozen since the given time.
func (h *history) frozenSince(node string, since time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var total time.Duration
	for _, f := range h.faults {
		end := f.to
		if end.IsZero() {
			end = time.Now()
		}
		if f.kind == "freeze" && f.node == node && end.After(since) {
			total += end.Sub(later(f.from, since))
		}
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// explainsCut reports whether the node was killed or frozen while it had the request.
func (h *history) explainsCut(o outcome) bool {
	for _, f := range h.faults {
		if (f.kind == "kill" || f.kind == "freeze") && f.node == o.node && f.overlaps(o.sent, o.ended, 0) {
			return true
		}
	}
	return false
}

// explainsLimitBreach reports whether a fault may have kept the node from learning an endpoint's limit: it had just started,
// was frozen or lost datagrams.
func (h *history) explainsLimitBreach(node string, at time.Time) bool {
	for _, f := range h.faults {
		if f.node != node || f.kind == "reload" || strings.HasPrefix(f.kind, "store") {
			continue
		}
		if f.overlaps(at, at, limitRecoveryTime) {
			return true
		}
	}
	return false
}

// explainsNoticeBreach reports whether the node was restarted or frozen after an endpoint's notice, which it may have lost.
func (h *history) explainsNoticeBreach(node string, notice, arrival time.Time) bool {
	for _, f := range h.faults {
		restarted := f.kind == "kill" || f.kind == "stop" || f.kind == "start" || f.kind == "freeze"
		if restarted && f.node == node && f.overlaps(notice, arrival, 0) {
			return true
		}
	}
	return false
}

// timeline lists the faults and a request in chronological order, for error messages.
func (h *history) timeline(o outcome) string {
	var lines []string
	at := func(t time.Time) string { return fmt.Sprintf("%7.3f", t.Sub(h.started).Seconds()) }
	for _, f := range h.faults {
		lines = append(lines, at(f.from)+" "+f.kind+" begins "+f.node)
		if !f.to.IsZero() {
			lines = append(lines, at(f.to)+" "+f.kind+" ends "+f.node)
		}
	}
	lines = append(lines, at(o.sent)+" request "+o.id+" sent to "+o.node+o.path,
		at(o.ended)+fmt.Sprintf(" request %s ends: %d %q %v; its connection had been unused for %v", o.id, o.status, o.body, o.err, o.connectionIdle))
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}
