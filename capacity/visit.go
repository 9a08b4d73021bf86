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

const (
	// quoteParallel bounds the owners asked at once.
	quoteParallel = 8
	// quotePatience is the least time that their answers are waited for.
	quotePatience = 20 * time.Millisecond
)

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
	offers := a.offers(ctx, late)
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
	if o.quote.Refused != 0 || o.quote.Unknown {
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
func (a *acquisition) visitLast(ctx context.Context, late bool) bool {
	if a.ask.Tier >= a.s.current().lowest {
		return false
	}
	offers := a.offers(ctx, late)
	for i := range offers {
		if offers[i].quote.Lower && a.move(ctx, offers[i].dc, modeLast) {
			return true
		}
	}
	return false
}

// settleElsewhere moves an ask whose own data centre does not serve it to any
// other that does. It reports whether the ask has moved.
func (a *acquisition) settleElsewhere(ctx context.Context) bool {
	if a.moves >= a.s.options.MaxMoves {
		return false
	}
	for _, o := range a.offers(ctx, true) {
		if o.quote.Refused == 0 && a.move(ctx, o.dc, modeHomeless) {
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
	if state == holdGranted || state == holdQueued || (state == holdSeek && m == modeHomeless) {
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
func (a *acquisition) offers(ctx context.Context, late bool) []offer {
	view := a.s.current()
	key := quoteKey{a.ask.Pool, a.ask.Tier}
	if a.ask.Tier >= view.lowest {
		if offers, ok := a.s.quotes.get(key, time.Now(), a.s.options.QuoteAge); ok {
			return offers
		}
	}
	ctx, cancel := context.WithTimeout(ctx, a.patience(late))
	defer cancel()
	offers := a.askOffers(ctx, view)
	a.s.quotes.put(key, time.Now(), offers)
	return offers
}

// patience is how long the answers may take: while only the aim is at risk, a
// part of the time that is left for it.
func (a *acquisition) patience(late bool) time.Duration {
	most := a.s.options.QuoteTimeout
	if late || a.firstTokenDue.IsZero() {
		return most
	}
	return min(max(time.Until(a.firstTokenDue)/marginPart, quotePatience), most)
}

func (a *acquisition) askOffers(ctx context.Context, view *layout) []offer {
	var (
		group  errgroup.Group
		mu     sync.Mutex
		offers []offer
	)
	group.SetLimit(quoteParallel)
	for _, dc := range view.elsewhere[a.ask.Pool] {
		owner, ok := view.owner(dc, a.ask.Pool)
		if dc == a.s.self.DataCentre || !ok {
			continue
		}
		group.Go(func() error {
			if o, ok := a.offer(ctx, owner); ok {
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

// offer asks one owner, or the one that it names instead.
func (a *acquisition) offer(ctx context.Context, owner domain.Member) (offer, bool) {
	began := time.Now()
	q, err := a.quote(ctx, owner)
	if err == nil && q.Owner != nil && !q.Owner.SameIncarnation(owner) {
		q, err = a.quote(ctx, *q.Owner)
	}
	if err != nil {
		return offer{}, false
	}
	return offer{dc: owner.DataCentre, quote: q, distance: time.Since(began)}, true
}

func (a *acquisition) quote(ctx context.Context, owner domain.Member) (quote, error) {
	s := a.s
	request := quoteRequest{Ask: a.hold.outstanding(time.Now())}
	request.Ask.Blocks = nil
	local := func(_ domain.Member, r *quoteRequest) quote { return s.serveQuote(r) }
	q, err := call(ctx, s, owner, s.options.QuoteTimeout, methodQuote, request, local)
	if err == nil {
		s.counts.quotes.Inc()
	}
	return q, err
}
