package places

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
)

// Place is the right to have one request at an endpoint. It must be released.
type Place struct {
	// Endpoint is the endpoint to send to. It may have left since: check the directory before the dispatch.
	Endpoint *directory.Endpoint
	// Waited is how long the request was queued.
	Waited time.Duration
	// Load is the assumed number of outstanding requests at the endpoint when the place was granted. ReportedAt is when
	// the last peer report included in it was received, zero if there is none.
	Load       int
	ReportedAt time.Time
	// TokenTime is the estimated time per token of the endpoint, zero if unknown.
	TokenTime time.Duration
	// Limit is the number of requests per second that the endpoint accepts from all nodes together, zero if it stated
	// none.
	Limit float64

	allocator       *Allocator
	pool            *pool
	tracked         *trackedEndpoint
	capacityRequest *capacity.Request
	// tier is the one in which the request was counted.
	tier    demandTier
	granted time.Time
	// lastTokensAt is when answer tokens last arrived.
	lastTokensAt time.Time
	load         load
	once         sync.Once
}

func newPlace(a *Allocator, p *pool, ep *trackedEndpoint, request *Request, now time.Time) *Place {
	return &Place{
		Endpoint:        ep.endpoint,
		allocator:       a,
		pool:            p,
		tracked:         ep,
		capacityRequest: request.capacityRequest,
		tier:            demandTierOf(request),
		granted:         now,
		Load:            ep.state.Requests,
		ReportedAt:      a.reportedAt,
		TokenTime:       ep.tokenTime.estimate(now),
		load: load{
			requests:      1,
			prefillTokens: request.PromptTokens,
			promptTokens:  request.PromptTokens,
			answerTokens:  request.AnswerTokens,
		},
	}
}

// RecordFirstEvent records that the prompt has been prefilled.
func (p *Place) RecordFirstEvent() {
	p.updateLoad(func(now time.Time, l *load) {
		l.prefillTokens = 0
		p.lastTokensAt = now
	})
}

// RecordTokens records that this many more answer tokens have arrived.
func (p *Place) RecordTokens(tokens int) {
	p.updateLoad(func(now time.Time, l *load) {
		l.answerTokens = max(l.answerTokens-tokens, 0)
		p.tracked.tokenTime.addOwn(now, tokens, now.Sub(p.lastTokensAt))
		p.lastTokensAt = now
	})
}

func (p *Place) updateLoad(edit func(time.Time, *load)) {
	p.allocator.mu.Lock()
	defer p.allocator.mu.Unlock()
	now := time.Now()
	p.tracked.servedAt = now
	p.tracked.ownLoad.subtract(p.load)
	edit(now, &p.load)
	p.tracked.ownLoad.add(p.load)
	p.tracked.refreshState()
}

// Release returns the place with the outcome of the request. Only the first call has an effect.
func (p *Place) Release(result capacity.Result) {
	p.once.Do(func() { p.allocator.release(p, result) })
}
