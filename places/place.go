package places

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
)

// Place is a right to have one request at an endpoint. It must be released.
type Place struct {
	// Endpoint is where to send. It may have left since: ask the directory before sending.
	Endpoint *directory.Endpoint
	// Waited is how long the ask waited for the place.
	Waited time.Duration
	// Load is what was thought to be outstanding at the endpoint when the place was given, and Reported when the last
	// report of another node came that counts in it, zero if there is none.
	Load     int
	Reported time.Time
	// TokenTime is what the endpoint was thought to take for a token, zero if nothing was known.
	TokenTime time.Duration
	// Limit is the number of requests a second that the endpoint takes from all nodes together, zero if it named none.
	Limit float64

	desk    *Desk
	pool    *pool
	account *account
	ask     *capacity.Request
	// tier is the one in which the ask was counted.
	tier    tier
	granted time.Time
	// producedAt is when answer tokens came last.
	producedAt time.Time
	load       load
	once       sync.Once
}

func newPlace(d *Desk, p *pool, a *account, ask *Ask, now time.Time) *Place {
	return &Place{
		Endpoint:  a.endpoint,
		desk:      d,
		pool:      p,
		account:   a,
		ask:       ask.routed,
		tier:      tierOf(ask),
		granted:   now,
		Load:      a.state.Requests,
		Reported:  d.reportedAt,
		TokenTime: a.pace.token(now),
		load: load{
			requests:      1,
			prefillTokens: ask.PromptTokens,
			promptTokens:  ask.PromptTokens,
			answerTokens:  ask.AnswerTokens,
		},
	}
}

// FirstEvent tells that the prompt has been read.
func (p *Place) FirstEvent() {
	p.progress(func(now time.Time, l *load) {
		l.prefillTokens = 0
		p.producedAt = now
	})
}

// Produced tells that so many more answer tokens have come.
func (p *Place) Produced(tokens int) {
	p.progress(func(now time.Time, l *load) {
		l.answerTokens = max(l.answerTokens-tokens, 0)
		p.account.pace.saw(now, tokens, now.Sub(p.producedAt))
		p.producedAt = now
	})
}

func (p *Place) progress(edit func(time.Time, *load)) {
	p.desk.mu.Lock()
	defer p.desk.mu.Unlock()
	now := time.Now()
	p.account.servedAt = now
	p.account.own.subtract(p.load)
	edit(now, &p.load)
	p.account.own.add(p.load)
	p.account.refresh()
}

// Release gives the place back and tells how it was used. Only the first call counts.
func (p *Place) Release(result capacity.Result) {
	p.once.Do(func() { p.desk.release(p, result) })
}
