package limits

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// books are the organisations that a node owns.
type books struct {
	service *Service
	start   time.Time

	mu  sync.Mutex
	all map[domain.OrganisationID]*book
}

func newBooks(s *Service) *books {
	return &books{service: s, start: time.Now(), all: make(map[domain.OrganisationID]*book)}
}

func (b *books) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.all)
}

// handle answers a report. It answers whoever asks: nodes may disagree for a while
// on who the owner is.
func (b *books) handle(_ context.Context, from domain.Member, r report) (reply, error) {
	now := time.Now()
	f := b.service.lookAround()
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := reply{Shares: make([]allotment, len(r.Demands))}
	for i, d := range r.Demands {
		answer.Shares[i] = b.answer(now, f, from, d)
	}
	return answer, nil
}

func (b *books) answer(now time.Time, f *fleet, from domain.Member, d demand) allotment {
	t, ok := b.terms(now, f, d.Organisation)
	if !ok {
		return allotment{Ignored: true}
	}
	owned, ok := b.all[d.Organisation]
	if !ok {
		owned = newBook(d.Organisation)
		b.all[d.Organisation] = owned
	}
	return owned.answer(now, from, d, t)
}

// terms returns what the configuration in force says of the organisation.
func (b *books) terms(now time.Time, f *fleet, id domain.OrganisationID) (terms, bool) {
	o := &b.service.options
	snapshot := o.Config.Current()
	if snapshot == nil {
		return terms{}, false
	}
	org, ok := snapshot.Organisations[id]
	if !ok {
		return terms{}, false
	}
	return terms{
		limit:           org.InFlight,
		pool:            pool(org.InFlight, len(f.live)),
		tokensPerMinute: org.TokensPerMinute,
		nodes:           len(f.live),
		settling:        f.settling(now, id, b.service.self(), o.SettleTime),
		gone:            f.gone,
		expiry:          o.ShareRetention + 2*o.SlowReportInterval,
		round:           uint64(now.Sub(b.start) / o.RotationInterval),
	}, true
}

// sweep forgets organisations that no node has reported for long.
func (b *books) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, owned := range b.all {
		if now.Sub(owned.answeredAt) >= b.service.options.EvictAfter {
			delete(b.all, id)
		}
	}
}
