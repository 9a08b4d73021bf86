// Package hostserver simulates the platform's list of the system's hosts. Changes
// appear in the list after a configurable lag, and faults can override the reported
// states. A List takes its time from package time and implements hostlist.List in
// process, so that it can be used under testing/synctest.
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

// Faults are the faults injected into the list. They last until they are replaced.
type Faults struct {
	// Down makes the list unavailable; DelayMillis delays each listing.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
	// StateOverrides are states reported in place of the actual ones; Absent omits the
	// host.
	StateOverrides map[domain.NodeID]hostlist.State `json:"lies,omitempty"`
}

// Absent in Faults.StateOverrides omits a host from the list.
const Absent hostlist.State = "absent"

// List is a simulated host list. Its methods are safe for concurrent use.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	history []snapshot // in order of time, never empty
	faults  Faults
}

// snapshot is the set of hosts from a point in time on.
type snapshot struct {
	at    time.Time
	hosts []hostlist.Host
}

var _ hostlist.List = (*List)(nil)

// New returns a list in which each change appears after the lag. The initial hosts
// are listed at once.
func New(lag time.Duration, hosts ...hostlist.Host) *List {
	l := &List{lag: lag}
	l.history = []snapshot{{at: time.Now().Add(-lag), hosts: slices.Clone(hosts)}}
	return l
}

// Set replaces all hosts.
func (l *List) Set(hosts ...hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(slices.Clone(hosts))
}

// Put adds a host, or replaces the one of the same node.
func (l *List) Put(host hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(append(l.without(host.Node), host))
}

// Remove removes a node's host.
func (l *List) Remove(node domain.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(l.without(node))
}

func (l *List) without(node domain.NodeID) []hostlist.Host {
	hosts := slices.Clone(l.history[len(l.history)-1].hosts)
	return slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.Node == node })
}

func (l *List) set(hosts []hostlist.Host) {
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return cmp.Compare(a.Node, b.Node) })
	now := time.Now()
	l.history = append(l.history, snapshot{at: now, hosts: hosts})
	l.history = l.history[l.visibleIndex(now):]
}

// visibleIndex returns the index of the newest snapshot that is older than the lag.
func (l *List) visibleIndex(now time.Time) int {
	i := len(l.history) - 1
	for i > 0 && l.history[i].at.After(now.Add(-l.lag)) {
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
	return l.visible(time.Now()), nil
}

// visible returns the hosts as listed, with the lag and the overrides applied.
func (l *List) visible(now time.Time) []hostlist.Host {
	hosts := []hostlist.Host{}
	for _, h := range l.history[l.visibleIndex(now)].hosts {
		if state, ok := l.faults.StateOverrides[h.Node]; ok {
			h.State = state
		}
		if h.State != Absent {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
