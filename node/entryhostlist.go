package node

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

// leavingReportTTL is how long a node keeps endpoints marked as leaving after its
// last attempt to read the list. After that another node reads the list.
const leavingReportTTL = time.Minute

// leavingSetter records which endpoints are leaving.
type leavingSetter interface {
	SetEndpointLeaving(id domain.EndpointID, leaving bool)
}

// EntryHostList filters the platform's host list down to the entry hosts, which is
// what membership needs, and reports the endpoints listed as leaving to the
// capacity service. It causes no additional reads of the list.
type EntryHostList struct {
	list hostlist.List

	mu sync.Mutex
	// setter is nil until New binds it.
	setter      leavingSetter
	lastAttempt time.Time
	leaving     map[domain.EndpointID]struct{}
}

var _ hostlist.List = (*EntryHostList)(nil)

// NewEntryHostList returns an EntryHostList that reads from list.
func NewEntryHostList(list hostlist.List) *EntryHostList {
	return &EntryHostList{list: list, leaving: make(map[domain.EndpointID]struct{})}
}

// List implements hostlist.List. It returns entry hosts only.
func (l *EntryHostList) List(ctx context.Context) ([]hostlist.Host, error) {
	l.mu.Lock()
	l.lastAttempt = time.Now()
	l.mu.Unlock()
	hosts, err := l.list.List(ctx)
	if err != nil {
		return nil, err
	}
	var entries []hostlist.Host
	leaving := make(map[domain.EndpointID]struct{})
	for _, host := range hosts {
		switch {
		case host.Endpoint == "":
			entries = append(entries, host)
		case host.State == hostlist.StateLeaving:
			leaving[host.Endpoint] = struct{}{}
		}
	}
	l.publish(leaving)
	return entries, nil
}

// publish reports the changes since the previous call to the setter.
func (l *EntryHostList) publish(leaving map[domain.EndpointID]struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.setter == nil {
		return
	}
	for id := range l.leaving {
		if _, still := leaving[id]; !still {
			l.setter.SetEndpointLeaving(id, false)
		}
	}
	for id := range leaving {
		l.setter.SetEndpointLeaving(id, true)
	}
	l.leaving = leaving
}

// expire withdraws this node's reports when it no longer reads the list: another
// node reports the leaving endpoints then.
func (l *EntryHostList) expire(now time.Time) {
	l.mu.Lock()
	idle := now.Sub(l.lastAttempt) > leavingReportTTL
	l.mu.Unlock()
	if idle {
		l.publish(nil)
	}
}

func (l *EntryHostList) bind(setter leavingSetter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setter = setter
}
