// Package hostserver is a stand-in for the platform's list of the system's
// hosts. The list lags behind the truth and can be made to lie. A List runs on
// package time and can be used in process as a hostlist.List under
// testing/synctest.
package hostserver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

// Faults are what is wrong with the list, until they are set anew.
type Faults struct {
	// Down makes the list unavailable, DelayMillis delays the answers.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
	// Lies gives hosts a state other than the true one; Absent leaves them out.
	StateOverrides map[domain.NodeID]hostlist.State `json:"lies,omitempty"`
}

// Absent in Faults.Lies leaves a host out of the list.
const Absent hostlist.State = "absent"

// List is a list of hosts.
type List struct {
	lag time.Duration

	mu     sync.Mutex
	past   []version // in order of time, never empty
	faults Faults
}

// version is the truth from some time on.
type version struct {
	at    time.Time
	hosts []hostlist.Host
}

var _ hostlist.List = (*List)(nil)

// New returns a list that shows each change after the lag. The hosts it begins
// with are shown at once.
func New(lag time.Duration, hosts ...hostlist.Host) *List {
	l := &List{lag: lag}
	l.past = []version{{at: time.Now().Add(-lag), hosts: slices.Clone(hosts)}}
	return l
}

// Set replaces the truth.
func (l *List) Set(hosts ...hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(slices.Clone(hosts))
}

// Put adds a host or replaces the one with its node's name.
func (l *List) Put(host hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(append(l.without(host.Node), host))
}

// Remove takes a host away.
func (l *List) Remove(node domain.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(l.without(node))
}

func (l *List) without(node domain.NodeID) []hostlist.Host {
	hosts := slices.Clone(l.past[len(l.past)-1].hosts)
	return slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.Node == node })
}

func (l *List) set(hosts []hostlist.Host) {
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return cmp.Compare(a.Node, b.Node) })
	now := time.Now()
	l.past = append(l.past, version{at: now, hosts: hosts})
	l.past = l.past[l.shown(now):]
}

// shown is the index of the version that is seen now.
func (l *List) shown(now time.Time) int {
	i := len(l.past) - 1
	for i > 0 && l.past[i].at.After(now.Add(-l.lag)) {
		i--
	}
	return i
}

// SetFaults replaces the faults in force.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the faults in force.
func (l *List) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// List implements hostlist.List.
func (l *List) List(ctx context.Context) ([]hostlist.Host, error) {
	faults := l.Faults()
	timer := time.NewTimer(time.Duration(faults.DelayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, hostlist.ErrUnavailable
	}
	if faults.Down {
		return nil, hostlist.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen(time.Now()), nil
}

// seen is the list as it is shown, lag and lies included.
func (l *List) seen(now time.Time) []hostlist.Host {
	hosts := []hostlist.Host{}
	for _, h := range l.past[l.shown(now)].hosts {
		if lie, ok := l.faults.StateOverrides[h.Node]; ok {
			h.State = lie
		}
		if h.State != Absent {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
