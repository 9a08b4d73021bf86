package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// Options say how much of a workload to make.
type Options struct {
	Seed uint64
	// Load is the offered work as a part of the engines' capacity, both reckoned at
	// batches of 16.
	Load float64
	// For is about the time over which requests arrive.
	Duration time.Duration
}

// Workload is a list of requests in order of time.
type Workload struct {
	Name    string
	Options Options
	// For is the time over which requests arrive: Options.For, stretched or
	// compressed so that the work offered is exactly the load asked for.
	Duration time.Duration
	Requests []Request
}

// longestConversation bounds a conversation's prompt in tokens.
const longestConversation = 12_000

// builder makes a workload.
type builder struct {
	model   Model
	options Options
	random  *rand.Rand
	guides  map[domain.OrganisationID]string
	places  []domain.DataCentre
	made    int
	out     []Request
}

// Generate makes the workload; the same options give the same requests.
// Conversations begin at random instants, so many that their turns that fall
// into the time are about the load asked for; then the time is stretched to make
// it exact.
func Generate(model Model, options Options) (*Workload, error) {
	rate, err := conversationRate(model, options)
	if err != nil {
		return nil, err
	}
	b := newBuilder(model, options)
	if err := b.build(rate); err != nil {
		return nil, err
	}
	slices.SortStableFunc(b.out, func(a, c Request) int {
		if a.At != c.At {
			return int(a.At - c.At)
		}
		return strings.Compare(a.Key, c.Key)
	})
	w := &Workload{Name: model.Deployment.Name, Options: options, Requests: b.out, Duration: options.Duration}
	w.stretch(&model.Deployment.Table)
	return w, nil
}

// Offered is the work of all requests as a part of the table's capacity.
func (w *Workload) Offered(table *config.Table) float64 {
	var work time.Duration
	for i := range w.Requests {
		work += Cost(&w.Requests[i], referenceBatch)
	}
	return work.Seconds() / (Capacity(table) * w.Duration.Seconds())
}

// stretch moves the requests' instants so that the load is exact.
func (w *Workload) stretch(table *config.Table) {
	factor := w.Offered(table) / w.Options.Load
	if factor == 0 {
		return
	}
	w.Duration = time.Duration(float64(w.Duration) * factor)
	for i := range w.Requests {
		w.Requests[i].At = time.Duration(float64(w.Requests[i].At) * factor)
	}
}

func newBuilder(model Model, options Options) *builder {
	b := &builder{
		model:   model,
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0x6c6f6164)),
		guides:  make(map[domain.OrganisationID]string),
	}
	for _, s := range model.Sources {
		b.guides[s.Organisation] = text(b.random, s.SystemPromptTokens)
	}
	for _, host := range model.Deployment.Hosts {
		b.places = append(b.places, host.DataCentre)
	}
	return b
}

// rateSample is the number of conversations by which the mean work is found, and
// rateSeed their seed.
const (
	rateSample = 400
	rateSeed   = 7919
)

// conversationRate returns the conversations a second that make up the load.
func conversationRate(model Model, options Options) (float64, error) {
	b := newBuilder(model, Options{Seed: rateSeed, Duration: 1 << 62})
	for range rateSample {
		if err := b.converse(b.source(), 0); err != nil {
			return 0, err
		}
	}
	var work time.Duration
	for i := range b.out {
		work += Cost(&b.out[i], referenceBatch)
	}
	each := work.Seconds() / float64(b.made)
	return options.Load * Capacity(&model.Deployment.Table) / each, nil
}

// build makes conversations by a Poisson process whose rate rises in bursts.
// Those in progress at the start began before it.
func (b *builder) build(rate float64) error {
	m := &b.model
	bursting := m.BurstDuration.Seconds() / (m.BurstInterval + m.BurstDuration).Seconds()
	base := rate / (1 + bursting*(m.BurstFactor-1))
	early := -leadTime
	burst := early + b.exponential(m.BurstInterval)
	for at := early; at < b.options.Duration; {
		now := base
		if at >= burst {
			now *= m.BurstFactor
		}
		at += b.exponential(time.Duration(float64(time.Second) / now))
		if at >= burst+m.BurstDuration {
			burst = at + b.exponential(m.BurstInterval)
		}
		if err := b.arrive(at); err != nil {
			return err
		}
	}
	return nil
}

// leadTime is how long before the start conversations begin, so that there are as
// many late turns at the start as later.
const leadTime = 15 * time.Second

// arrive begins a conversation, or rarely many at once that count for as many.
func (b *builder) arrive(at time.Duration) error {
	s := b.source()
	if s.GroupSize <= 1 {
		return b.converse(s, at)
	}
	if b.random.IntN(s.GroupSize) != 0 {
		return nil
	}
	for range s.GroupSize {
		if err := b.converse(s, at+b.exponential(300*time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}

func (b *builder) source() *Source {
	var sum float64
	for _, s := range b.model.Sources {
		sum += s.Share
	}
	at := b.random.Float64() * sum
	for i := range b.model.Sources {
		if at -= b.model.Sources[i].Share; at < 0 {
			return &b.model.Sources[i]
		}
	}
	return &b.model.Sources[0]
}

// converse makes a conversation and its plain calls, as far as they fall into the
// time.
func (b *builder) converse(s *Source, at time.Duration) error {
	b.made++
	c := b.conversation(s)
	turns := 1 + b.random.IntN(2*s.MeanTurns-1)
	for turn := range turns {
		r, err := c.turn(turn, at)
		if err != nil {
			return err
		}
		b.add(r)
		if c.tokens > longestConversation {
			break
		}
		at += s.ThinkTime/2 + b.exponential(s.ThinkTime/2)
	}
	for call := range int(b.model.CallsPerConversation) {
		b.add(b.call(c, call, at-b.exponential(s.ThinkTime)))
	}
	return nil
}

func (b *builder) conversation(s *Source) *conversation {
	row, tier := b.rows(s.Organisation)
	c := &conversation{
		random: b.random,
		model:  b.model.Deployment.Model,
		source: s,
		row:    row,
		tier:   tier,
		place:  b.places[b.random.IntN(len(b.places))],
		name:   fmt.Sprintf("%s-%d", s.Organisation, b.made),
	}
	c.begin(b.guides[s.Organisation])
	return c
}

func (b *builder) rows(id domain.OrganisationID) (*config.OrganisationRow, *config.TierRow) {
	table := &b.model.Deployment.Table
	org := slices.IndexFunc(table.Organisations, func(r config.OrganisationRow) bool { return r.ID == id })
	row := &table.Organisations[org]
	tier := slices.IndexFunc(table.Tiers, func(r config.TierRow) bool { return r.Name == row.Tier })
	return row, &table.Tiers[tier]
}

func (b *builder) call(c *conversation, number int, at time.Duration) Request {
	k := b.callKind()
	body := k.Body
	if strings.Contains(body, "%s") {
		body = fmt.Sprintf(body, fmt.Sprintf("%s-%d", c.name, number))
	}
	return Request{
		Key:           fmt.Sprintf("%s-call-%d", c.name, number),
		Kind:          k.Name,
		Organisation:  c.row.ID,
		Tier:          c.tier.Rank,
		DataCentre:    c.place,
		At:            at,
		Timeout:       k.Timeout,
		Method:        k.Method,
		Path:          "/services/" + b.model.Deployment.Service + k.Path,
		Body:          []byte(body),
		NonIdempotent: k.NonIdempotent,
	}
}

func (b *builder) callKind() *CallKind {
	var sum float64
	for _, k := range b.model.Calls {
		sum += k.Share
	}
	at := b.random.Float64() * sum
	for i := range b.model.Calls {
		if at -= b.model.Calls[i].Share; at < 0 {
			return &b.model.Calls[i]
		}
	}
	return &b.model.Calls[0]
}

// add keeps a request that falls into the time, and draws what its caller does.
func (b *builder) add(r Request) {
	retry, hangUp := b.random.Float64() < b.model.RetryShare, b.random.Float64() < b.model.HangUpShare
	after := b.random.Float64()
	if r.At < 0 || r.At >= b.options.Duration {
		return
	}
	switch {
	case retry:
		r.RetryAfter = time.Duration((0.1 + 0.4*after) * float64(r.Timeout))
	case hangUp && r.IsModelRequest():
		r.HangUpAfter = time.Duration((0.02 + 0.5*after) * float64(r.Timeout))
	}
	b.out = append(b.out, r)
}

func (b *builder) exponential(mean time.Duration) time.Duration {
	return time.Duration(b.random.ExpFloat64() * float64(mean))
}
