package capacity

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// registerChunk is the most records in one message.
const registerChunk = 256

// renew tells every owner, in one message each, what this node holds of it.
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

// message returns what is sent.
func (r *ownerRenewal) message() renewal {
	m := renewal{Pools: make([]poolRenewal, len(r.links))}
	for i := range r.links {
		m.Pools[i] = r.links[i].message
	}
	return m
}

// unreported has the progress sent again, since the message may be lost.
func (r *ownerRenewal) unreported() {
	for i := range r.links {
		r.links[i].link.unreported()
	}
}

// renewals gathers the renewals by owner, in the order of the links.
func (s *Service) renewals() []*ownerRenewal {
	var all []*ownerRenewal
	byOwner := make(map[lifeOf]*ownerRenewal)
	for _, l := range s.links.all() {
		r, ok := l.renewal()
		if !ok {
			continue
		}
		found, ok := byOwner[lifeOfMember(r.owner)]
		if !ok {
			found = &ownerRenewal{owner: r.owner}
			byOwner[lifeOfMember(r.owner)] = found
			all = append(all, found)
		}
		found.links = append(found.links, r)
	}
	return all
}

func (s *Service) renewWith(ctx context.Context, r *ownerRenewal) {
	reply, err := call(ctx, s, r.owner, s.options.CallTimeout, methodRenew, r.message(), s.serveRenew)
	if err != nil {
		s.counts.unreachable.Inc()
		r.unreported()
		return
	}
	for i := range r.links {
		s.reconcile(ctx, &r.links[i], &reply)
	}
}

// reconcile settles what a renewal's reply says of one pool.
func (s *Service) reconcile(ctx context.Context, r *linkRenewal, reply *renewalReply) {
	pool := r.link.key.pool
	if slices.Contains(reply.Differ, pool) {
		s.list(ctx, r.link, r.owner)
		return
	}
	for i := range reply.Moved {
		if reply.Moved[i].Pool == pool {
			s.moved(ctx, r.link, reply.Moved[i].Owner)
			return
		}
	}
	r.link.agreed(r.changes)
}

func (s *Service) moved(ctx context.Context, l *link, owner domain.Member) {
	if l.follow(owner, time.Now()) {
		s.registerAll(ctx, l)
	}
}

// list names all that this node holds to the owner, and registers what the owner
// does not know.
func (s *Service) list(ctx context.Context, l *link, owner domain.Member) {
	s.counts.lists.Inc()
	grants, asks := l.names()
	request := listRequest{Pool: l.key.pool, Grants: encodeIDs(grants), Asks: encodeIDs(asks)}
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

// registerAll tells the link's owner in full of all that this node holds.
func (s *Service) registerAll(ctx context.Context, l *link) {
	s.registerRecords(ctx, l, l.records(nil, time.Now()))
}

func (s *Service) registerRecords(ctx context.Context, l *link, records []record) {
	for len(records) > 0 {
		n := min(len(records), registerChunk)
		if !s.registerSome(ctx, l, records[:n]) {
			return
		}
		records = records[n:]
	}
}

// registerSome sends one message. It reports whether the owner took it.
func (s *Service) registerSome(ctx context.Context, l *link, records []record) bool {
	owner, known := l.current()
	if !known {
		return false
	}
	request := registerRequest{Pool: l.key.pool, Records: records}
	reply, err := call(ctx, s, owner, s.options.CallTimeout, methodRegister, request, s.serveRegister)
	if err != nil {
		l.failAsks(records)
		return false
	}
	if reply.Owner != nil {
		l.follow(*reply.Owner, time.Now())
		l.failAsks(records)
		return false
	}
	s.noticed(owner, notice{Pool: l.key.pool, Rulings: reply.Rulings})
	return true
}

// failAsks marks the waiting ones of the records, so that they are asked for anew.
func (l *link) failAsks(records []record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range records {
		if h, ok := l.holds[records[i].ID]; ok {
			h.fail()
		}
	}
}

// rehome registers what this node holds with owners that are new.
func (s *Service) rehome() {
	view := s.current()
	for _, l := range s.links.all() {
		if l.look(view) {
			s.background(func(ctx context.Context) { s.registerAll(ctx, l) })
		}
	}
}
