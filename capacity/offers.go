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
	// maxParallelQuotes bounds the concurrent quote calls.
	maxParallelQuotes = 8
	// minOfferTimeout is the least time for which quotes are awaited.
	minOfferTimeout = 20 * time.Millisecond
)

// offer is another data centre's quote with the measured round trip.
type offer struct {
	dc    domain.DataCentre
	quote quote
	// roundTrip is the time that the quote call took.
	roundTrip time.Duration
}

// firstToken and total estimate the times from now.
func (o *offer) firstToken() time.Duration { return o.roundTrip + o.quote.Wait + o.quote.FirstToken }
func (o *offer) total() time.Duration      { return o.roundTrip + o.quote.Wait + o.quote.Total }

// quoteKey identifies a cache entry of quotes.
type quoteKey struct {
	pool domain.PoolName
	tier domain.Tier
}

// cachedQuotes are offers with the time at which they were made.
type cachedQuotes struct {
	at     time.Time
	offers []offer
}

// quoteCache holds the last offers for each pool and tier. Only those for the lowest
// tier are reused.
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

// moveWithoutRevoking moves the request to a data centre that can serve it in time
// without revoking a grant. With late set, only the deadline counts and not the
// first-token target. It reports whether the request has moved, or been granted
// meanwhile.
func (a *acquisition) moveWithoutRevoking(ctx context.Context, late bool) bool {
	offers := a.offers(ctx, late)
	now := time.Now()
	offers = slices.DeleteFunc(slices.Clone(offers), func(o offer) bool { return !a.isOnTime(&o, now, late) })
	slices.SortStableFunc(offers, func(x, y offer) int { return cmp.Compare(x.firstToken(), y.firstToken()) })
	for i := range min(len(offers), maxMoveAttempts) {
		if a.move(ctx, offers[i].dc, modeRemote) {
			return true
		}
	}
	return false
}

// isOnTime reports whether an offer would serve the request in time.
func (a *acquisition) isOnTime(o *offer, now time.Time, late bool) bool {
	if o.quote.Refused != 0 || o.quote.WaitUnknown {
		return false
	}
	if o.total() > a.due.Sub(now) {
		return false
	}
	return late || a.firstTokenDue.IsZero() || o.firstToken() <= a.firstTokenDue.Sub(now)
}

// moveByRevoking moves the request to a data centre that serves a lower tier, so that a
// grant of that tier is revoked for it. It reports whether the request has moved, or
// been granted meanwhile.
func (a *acquisition) moveByRevoking(ctx context.Context, late bool) bool {
	if a.request.Tier >= a.s.currentLayout().lowestTier {
		return false
	}
	offers := a.offers(ctx, late)
	for i := range offers {
		if offers[i].quote.CanRevoke && a.move(ctx, offers[i].dc, modeFinal) {
			return true
		}
	}
	return false
}

// moveToServing moves a request whose own data centre does not serve its pool to any
// other that does. It reports whether the request has moved.
func (a *acquisition) moveToServing(ctx context.Context) bool {
	if a.moveCount >= a.s.options.MaxMoves {
		return false
	}
	for _, o := range a.offers(ctx, true) {
		if o.quote.Refused == 0 && a.move(ctx, o.dc, modeUnservedLocally) {
			return true
		}
	}
	return false
}

// move sends the request to another data centre's owner, and leaves the present queue
// if that owner accepts it. It reports whether the request has moved, or been granted
// meanwhile.
func (a *acquisition) move(ctx context.Context, dc domain.DataCentre, m mode) bool {
	if a.isGranted() {
		return true
	}
	before := a.handle
	a.enqueue(ctx, dc, m)
	state, _ := a.handle.current()
	if state == handleGranted || state == handleQueued || (state == handleSearch && m == modeUnservedLocally) {
		before.cancel()
		a.moveCount++
		a.s.counts.moves.Inc()
		return true
	}
	a.handle.cancel()
	a.handle = before
	return a.isGranted()
}

func (a *acquisition) isGranted() bool {
	state, _ := a.handle.current()
	return state == handleGranted
}

// offers queries the owners of the request's pool in all other data centres. For the
// lowest tier, recent offers are reused.
func (a *acquisition) offers(ctx context.Context, late bool) []offer {
	view := a.s.currentLayout()
	key := quoteKey{a.request.Pool, a.request.Tier}
	if a.request.Tier >= view.lowestTier {
		if offers, ok := a.s.quotes.get(key, time.Now(), a.s.options.QuoteTTL); ok {
			return offers
		}
	}
	ctx, cancel := context.WithTimeout(ctx, a.offerTimeout(late))
	defer cancel()
	offers := a.fetchOffers(ctx, view)
	a.s.quotes.put(key, time.Now(), offers)
	return offers
}

// offerTimeout is how long to wait for quotes: while only the first-token target is at
// risk, a fraction of the time left for it.
func (a *acquisition) offerTimeout(late bool) time.Duration {
	most := a.s.options.QuoteTimeout
	if late || a.firstTokenDue.IsZero() {
		return most
	}
	return min(max(time.Until(a.firstTokenDue)/marginDivisor, minOfferTimeout), most)
}

func (a *acquisition) fetchOffers(ctx context.Context, view *layout) []offer {
	var (
		group  errgroup.Group
		mu     sync.Mutex
		offers []offer
	)
	group.SetLimit(maxParallelQuotes)
	for _, dc := range view.dataCentresOf[a.request.Pool] {
		owner, ok := view.owner(dc, a.request.Pool)
		if dc == a.s.self.DataCentre || !ok {
			continue
		}
		group.Go(func() error {
			if o, ok := a.fetchOffer(ctx, owner); ok {
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

// fetchOffer queries one owner, or the one that it redirects to.
func (a *acquisition) fetchOffer(ctx context.Context, owner domain.Member) (offer, bool) {
	started := time.Now()
	q, err := a.fetchQuote(ctx, owner)
	if err == nil && q.Owner != nil && !q.Owner.SameIncarnation(owner) {
		q, err = a.fetchQuote(ctx, *q.Owner)
	}
	if err != nil {
		return offer{}, false
	}
	return offer{dc: owner.DataCentre, quote: q, roundTrip: time.Since(started)}, true
}

func (a *acquisition) fetchQuote(ctx context.Context, owner domain.Member) (quote, error) {
	s := a.s
	request := quoteRequest{Request: a.handle.requestAt(time.Now())}
	request.Request.Blocks = nil
	local := func(_ domain.Member, r *quoteRequest) quote { return s.serveQuote(r) }
	q, err := call(ctx, s, owner, s.options.QuoteTimeout, methodQuote, request, local)
	if err == nil {
		s.counts.quotes.Inc()
	}
	return q, err
}
