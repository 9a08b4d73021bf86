package node

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

// listWordTTL is for how long a node stands by what it read of endpoints after it
// last tried to read the list: another node reads it then.
const listWordTTL = time.Minute

// leavingSetter is told which endpoints are leaving.
type leavingSetter interface {
	SetEndpointLeaving(id domain.EndpointID, leaving bool)
}

// EntryHostList takes the endpoints' hosts out of the platform's host list, so that
// membership reads entry hosts only, and passes on which endpoints are leaving.
// The list is read no more often for it.
type EntryHostList struct {
	list hostlist.List

	mu sync.Mutex
	// told is nil until the node is put together.
	told    leavingSetter
	tried   time.Time
	leaving map[domain.EndpointID]struct{}
}

var _ hostlist.List = (*EntryHostList)(nil)

// NewEntryHostList returns a list that reads the given one.
func NewEntryHostList(list hostlist.List) *EntryHostList {
	return &EntryHostList{list: list, leaving: make(map[domain.EndpointID]struct{})}
}

// List implements hostlist.List: the entry hosts alone.
func (l *EntryHostList) List(ctx context.Context) ([]hostlist.Host, error) {
	l.mu.Lock()
	l.tried = time.Now()
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
	l.tell(leaving)
	return entries, nil
}

// tell passes the changes on.
func (l *EntryHostList) tell(leaving map[domain.EndpointID]struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil {
		return
	}
	for id := range l.leaving {
		if _, still := leaving[id]; !still {
			l.told.SetEndpointLeaving(id, false)
		}
	}
	for id := range leaving {
		l.told.SetEndpointLeaving(id, true)
	}
	l.leaving = leaving
}

// expire takes back what another node now stands by.
func (l *EntryHostList) expire(now time.Time) {
	l.mu.Lock()
	idle := now.Sub(l.tried) > listWordTTL
	l.mu.Unlock()
	if idle {
		l.tell(nil)
	}
}

func (l *EntryHostList) bind(told leavingSetter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = told
}
