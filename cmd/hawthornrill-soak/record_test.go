package soak

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// fault is a time in which something was wrong, at one node or, without a node, for all.
type fault struct {
	what     string
	node     string
	from, to time.Time
}

// about reports whether the fault, or its effects for so long after it, fell into the time.
func (f *fault) about(from, to time.Time, after time.Duration) bool {
	return f.from.Before(to) && (f.to.IsZero() || f.to.Add(after).After(from))
}

// outcome is what a caller got.
type outcome struct {
	id, node, key, path string
	sent, ended         time.Time
	status              int
	body                string
	err                 error
}

// record is everything that happened.
type record struct {
	mu       sync.Mutex
	started  time.Time
	faults   []*fault
	outcomes []outcome
	revoked  map[string]time.Time
}

// began notes the start of a fault; the returned function notes its end.
func (r *record) began(what, node string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &fault{what: what, node: node, from: time.Now()}
	r.faults = append(r.faults, f)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		f.to = time.Now()
	}
}

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// settle is how long after a fault its effects are excused: dead connections are found, endpoints are tried again.
const settle = 5 * time.Second

// excuses returns the faults that may explain what a request got. A graceful stop or a reload of its node does not.
func (r *record) excuses(o outcome) bool {
	for _, f := range r.faults {
		if f.what == "stop" || f.what == "reload" || (f.node != "" && f.node != o.node) {
			continue
		}
		if f.about(o.sent, o.ended, settle) {
			return true
		}
	}
	return false
}

// excusesLimit reports whether the node may not have known of an endpoint's limit: it had just started, been frozen or lost
// datagrams.
func (r *record) excusesLimit(node string, at time.Time) bool {
	for _, f := range r.faults {
		if f.node != node || f.what == "reload" || strings.HasPrefix(f.what, "store") {
			continue
		}
		if f.about(at, at, limitExcused) {
			return true
		}
	}
	return false
}

// timeline is the faults and a request in their order, for a person.
func (r *record) timeline(o outcome) string {
	var lines []string
	at := func(t time.Time) string { return fmt.Sprintf("%7.3f", t.Sub(r.started).Seconds()) }
	for _, f := range r.faults {
		lines = append(lines, at(f.from)+" "+f.what+" begins "+f.node)
		if !f.to.IsZero() {
			lines = append(lines, at(f.to)+" "+f.what+" ends "+f.node)
		}
	}
	lines = append(lines, at(o.sent)+" request "+o.id+" sent to "+o.node+o.path,
		at(o.ended)+fmt.Sprintf(" request %s ends: %d %q %v", o.id, o.status, o.body, o.err))
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}
