package capacity

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const maxRecordsPerMessage = 256

// renew sends every owner one message that summarises what this node holds there.
func (s *Service) renew() {
	for _, r := range s.renewals() {
		if r.owner.SameIncarnation(s.self) {
			s.renewWith(s.base, r)
			continue
		}
		s.background(func(ctx context.Context) { s.renewWith(ctx, r) })
	}
	s.repeatLeaving()
}

// ownerRenewal is the renewal for one owner.
type ownerRenewal struct {
	owner domain.Member
	links []linkRenewal
}

func (r *ownerRenewal) message() renewal {
	m := renewal{Pools: make([]poolRenewal, len(r.links))}
	for i := range r.links {
		m.Pools[i] = r.links[i].message
	}
	return m
}

// resetReported causes the progress to be sent again, since the message may have been
// lost.
func (r *ownerRenewal) resetReported() {
	for i := range r.links {
		r.links[i].link.resetReported()
	}
}

// renewals groups the links' renewals by owner, in the order of the links.
func (s *Service) renewals() []*ownerRenewal {
	var all []*ownerRenewal
	byOwner := make(map[memberKey]*ownerRenewal)
	for _, l := range s.links.all() {
		r, ok := l.renewal()
		if !ok {
			continue
		}
		found, ok := byOwner[keyOfMember(r.owner)]
		if !ok {
			found = &ownerRenewal{owner: r.owner}
			byOwner[keyOfMember(r.owner)] = found
			all = append(all, found)
		}
		found.links = append(found.links, r)
	}
	return all
}

func (s *Service) renewWith(ctx context.Context, r *ownerRenewal) {
	reply, err := call(ctx, s, r.owner, s.options.CallTimeout, methodRenew, r.message(), s.serveRenew)
	if err != nil {
		s.counts.ownerUnreachable.Inc()
		r.resetReported()
		return
	}
	for i := range r.links {
		s.reconcile(ctx, &r.links[i], &reply)
	}
}

// reconcile handles what a renewal's reply says about one pool.
func (s *Service) reconcile(ctx context.Context, r *linkRenewal, reply *renewalReply) {
	pool := r.link.key.pool
	if slices.Contains(reply.Differ, pool) {
		s.list(ctx, r.link, r.owner)
		return
	}
	for i := range reply.Redirected {
		if reply.Redirected[i].Pool == pool {
			s.followOwner(ctx, r.link, reply.Redirected[i].Owner)
			return
		}
	}
	r.link.confirm(r.changes)
}

func (s *Service) followOwner(ctx context.Context, l *link, owner domain.Member) {
	if l.redirect(owner, time.Now()) {
		s.registerAll(ctx, l)
	}
}

// list sends the owner the identifiers of all that this node holds, and registers what
// the owner does not know.
func (s *Service) list(ctx context.Context, l *link, owner domain.Member) {
	s.counts.listings.Inc()
	grants, waiting := l.ids()
	request := listRequest{Pool: l.key.pool, Grants: encodeIDs(grants), Requests: encodeIDs(waiting)}
	local := func(from domain.Member, r *listRequest) listReply {
		reply, _ := s.serveList(from, r)
		return reply
	}
	reply, err := call(ctx, s, owner, s.options.CallTimeout, methodList, request, local)
	if err != nil {
		return
	}
	unknown, err := decodeIDs(reply.Unknown)
	if err != nil || len(unknown) == 0 {
		return
	}
	s.registerRecords(ctx, l, l.records(unknown, time.Now()))
}

// registerAll registers all that this node holds with the link's owner.
func (s *Service) registerAll(ctx context.Context, l *link) {
	s.registerRecords(ctx, l, l.records(nil, time.Now()))
}

func (s *Service) registerRecords(ctx context.Context, l *link, records []record) {
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerMessage)
		if !s.registerSome(ctx, l, records[:n]) {
			return
		}
		records = records[n:]
	}
}

// registerSome sends one message. It reports whether the owner accepted it.
func (s *Service) registerSome(ctx context.Context, l *link, records []record) bool {
	owner, known := l.currentOwner()
	if !known {
		return false
	}
	request := registerRequest{Pool: l.key.pool, Records: records}
	reply, err := call(ctx, s, owner, s.options.CallTimeout, methodRegister, request, s.serveRegister)
	if err != nil {
		l.failQueued(records)
		return false
	}
	if reply.Owner != nil {
		l.redirect(*reply.Owner, time.Now())
		l.failQueued(records)
		return false
	}
	s.handleNotice(owner, notice{Pool: l.key.pool, Decisions: reply.Decisions})
	return true
}

// failQueued fails the queued requests among the records, so that their callers send
// them again.
func (l *link) failQueued(records []record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range records {
		if h, ok := l.handles[records[i].ID]; ok {
			h.failLocked()
		}
	}
}

// registerWithNewOwners registers what this node holds with owners that have changed.
func (s *Service) registerWithNewOwners() {
	view := s.currentLayout()
	for _, l := range s.links.all() {
		if l.updateOwner(view) {
			s.background(func(ctx context.Context) { s.registerAll(ctx, l) })
		}
	}
}
