package capacity

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
)

// quoteParallel bounds the owners asked at once.
const quoteParallel = 8

// offer is a quote with what this node adds to it.
type offer struct {
	dc    domain.DataCentre
	quote quote
	// distance is the time that the question took.
	distance time.Duration
}

// firstToken and total estimate the times from now.
func (o *offer) firstToken() time.Duration { return o.distance + o.quote.Wait + o.quote.FirstToken }
func (o *offer) total() time.Duration      { return o.distance + o.quote.Wait + o.quote.Total }

// quoteKey names what quotes are kept for.
type quoteKey struct {
	pool domain.PoolName
	tier domain.Tier
}

// cachedQuotes are offers with the instant they were made.
type cachedQuotes struct {
	at     time.Time
	offers []offer
}

// quoteCache keeps the last offers for the lowest tier.
type quoteCache struct {
	mu     sync.Mutex
	quotes map[quoteKey]cachedQuotes
}

func (c *quoteCache) get(key quoteKey, now time.Time, age time.Duration) ([]offer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.quotes[key]
	return found.offers, ok && now.Sub(found.at) <= age
}

func (c *quoteCache) put(key quoteKey, now time.Time, offers []offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotes[key] = cachedQuotes{at: now, offers: offers}
}

// visit moves the ask to a data centre that can serve it in time without revoking
// a grant. With late, the deadline counts and not only the aim for the first
// token. It reports whether the ask has moved, or been granted meanwhile.
func (a *acquisition) visit(ctx context.Context, late bool) bool {
	offers := a.s.offers(ctx, &a.ask, a.firstTokenDue, a.due)
	now := time.Now()
	offers = slices.DeleteFunc(slices.Clone(offers), func(o offer) bool { return !a.useful(&o, now, late) })
	slices.SortStableFunc(offers, func(x, y offer) int { return cmp.Compare(x.firstToken(), y.firstToken()) })
	for i := range min(len(offers), visitAttempts) {
		if a.move(ctx, offers[i].dc, modeVisit) {
			return true
		}
	}
	return false
}

// useful reports whether an offer would keep the ask in time.
func (a *acquisition) useful(o *offer, now time.Time, late bool) bool {
	if o.quote.Refused != 0 {
		return false
	}
	if o.total() > a.due.Sub(now) {
		return false
	}
	return late || a.firstTokenDue.IsZero() || o.firstToken() <= a.firstTokenDue.Sub(now)
}

// visitLast moves the ask to a data centre that serves a lower tier, so that this
// is revoked for it. It reports whether the ask has moved, or been granted
// meanwhile.
func (a *acquisition) visitLast(ctx context.Context) bool {
	if a.ask.Tier >= a.s.current().lowest {
		return false
	}
	offers := a.s.offers(ctx, &a.ask, a.firstTokenDue, a.due)
	for i := range offers {
		if offers[i].quote.Lower && a.move(ctx, offers[i].dc, modeLast) {
			return true
		}
	}
	return false
}

// move asks another data centre's owner, and gives up the place in the present
// queue if that takes the ask. It reports whether the ask has moved, or been
// granted meanwhile.
func (a *acquisition) move(ctx context.Context, dc domain.DataCentre, m mode) bool {
	if a.waitsGranted() {
		return true
	}
	before := a.hold
	a.open(ctx, dc, m)
	state, _ := a.hold.get()
	if state == holdGranted || state == holdQueued {
		before.withdraw()
		a.moves++
		a.s.counts.visits.Inc()
		return true
	}
	a.hold.withdraw()
	a.hold = before
	return a.waitsGranted()
}

func (a *acquisition) waitsGranted() bool {
	state, _ := a.hold.get()
	return state == holdGranted
}

// offers asks the owners of the ask's pool in all other data centres. For the
// lowest tier, recent answers are used again.
func (s *Service) offers(ctx context.Context, ask *Ask, firstTokenDue, due time.Time) []offer {
	now := time.Now()
	view := s.current()
	key := quoteKey{ask.Pool, ask.Tier}
	if ask.Tier >= view.lowest {
		if offers, ok := s.quotes.get(key, now, s.options.QuoteAge); ok {
			return offers
		}
	}
	offers := s.askOffers(ctx, view, ask, firstTokenDue, due)
	s.quotes.put(key, time.Now(), offers)
	return offers
}

func (s *Service) askOffers(ctx context.Context, view *layout, ask *Ask, firstTokenDue, due time.Time) []offer {
	var (
		group  errgroup.Group
		mu     sync.Mutex
		offers []offer
	)
	group.SetLimit(quoteParallel)
	for _, dc := range view.elsewhere[ask.Pool] {
		owner, ok := view.owner(dc, ask.Pool)
		if dc == s.self.DataCentre || !ok {
			continue
		}
		group.Go(func() error {
			if o, ok := s.offer(ctx, owner, ask, firstTokenDue, due); ok {
				mu.Lock()
				defer mu.Unlock()
				offers = append(offers, o)
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(offers, func(x, y offer) int { return cmp.Compare(x.dc, y.dc) })
	return offers
}

// offer asks one owner.
func (s *Service) offer(ctx context.Context, owner domain.Member, ask *Ask, firstTokenDue, due time.Time) (offer, bool) {
	began := time.Now()
	request := quoteRequest{Ask: *ask}
	request.Ask.Name = ""
	request.Ask.Deadline = due.Sub(began)
	if !firstTokenDue.IsZero() {
		request.Ask.FirstToken = max(firstTokenDue.Sub(began), 1)
	}
	local := func(_ domain.Member, r *quoteRequest) quote { return s.serveQuote(r) }
	q, err := call(ctx, s, owner, s.options.QuoteTimeout, methodQuote, request, local)
	if err != nil {
		return offer{}, false
	}
	s.counts.quotes.Inc()
	return offer{dc: owner.DataCentre, quote: q, distance: time.Since(began)}, true
}
