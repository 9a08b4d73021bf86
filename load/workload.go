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

// Options configures the generation of a workload.
type Options struct {
	Seed uint64
	// Load is the offered work relative to the capacity of the engines, both computed at
	// a batch size of 16.
	Load float64
	// Duration is the approximate time over which requests arrive.
	Duration time.Duration
}

// Workload is a list of requests, ordered by time.
type Workload struct {
	Name    string
	Options Options
	// Duration is the time over which requests arrive: Options.Duration, scaled so that
	// the offered work is exactly Options.Load.
	Duration time.Duration
	Requests []Request
}

// maxConversationTokens is the length above which a conversation gets no further turns.
const maxConversationTokens = 12_000

// builder generates the requests of a workload.
type builder struct {
	model         Model
	options       Options
	random        *rand.Rand
	systemPrompts map[domain.OrganisationID]string
	dataCentres   []domain.DataCentre
	conversations int
	requests      []Request
}

// Generate returns a workload. Equal options yield equal requests. Conversations start
// at random times, at a rate at which the turns within the duration offer approximately
// the requested load; the times are then scaled to make the load exact.
func Generate(model Model, options Options) (*Workload, error) {
	rate, err := conversationRate(model, options)
	if err != nil {
		return nil, err
	}
	b := newBuilder(model, options)
	if err := b.addConversations(rate); err != nil {
		return nil, err
	}
	slices.SortStableFunc(b.requests, func(a, c Request) int {
		if a.At != c.At {
			return int(a.At - c.At)
		}
		return strings.Compare(a.Key, c.Key)
	})
	w := &Workload{Name: model.Deployment.Name, Options: options, Requests: b.requests, Duration: options.Duration}
	w.scaleTimes(&model.Deployment.Table)
	return w, nil
}

// Offered returns the work of all requests relative to the capacity of the table's
// engines.
func (w *Workload) Offered(table *config.Table) float64 {
	var work time.Duration
	for i := range w.Requests {
		work += Cost(&w.Requests[i], referenceBatch)
	}
	return work.Seconds() / (Capacity(table) * w.Duration.Seconds())
}

// scaleTimes scales the times of the requests so that the load is exact.
func (w *Workload) scaleTimes(table *config.Table) {
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
		model:         model,
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, 0x6c6f6164)),
		systemPrompts: make(map[domain.OrganisationID]string),
	}
	for _, s := range model.Sources {
		b.systemPrompts[s.Organisation] = randomText(b.random, s.SystemPromptTokens)
	}
	for _, host := range model.Deployment.Hosts {
		b.dataCentres = append(b.dataCentres, host.DataCentre)
	}
	return b
}

// rateSampleSize is the number of conversations from which the mean work is estimated,
// rateSeed the seed with which they are generated.
const (
	rateSampleSize = 400
	rateSeed       = 7919
)

// conversationRate returns the number of conversations per second that offers the load.
func conversationRate(model Model, options Options) (float64, error) {
	b := newBuilder(model, Options{Seed: rateSeed, Duration: 1 << 62})
	for range rateSampleSize {
		if err := b.addConversation(b.drawSource(), 0); err != nil {
			return 0, err
		}
	}
	var work time.Duration
	for i := range b.requests {
		work += Cost(&b.requests[i], referenceBatch)
	}
	meanWork := work.Seconds() / float64(b.conversations)
	return options.Load * Capacity(&model.Deployment.Table) / meanWork, nil
}

// addConversations adds conversations that arrive in a Poisson process whose rate rises
// in bursts. Arrivals start leadTime before the run, so that conversations are in
// progress at its start.
func (b *builder) addConversations(rate float64) error {
	m := &b.model
	bursting := m.BurstDuration.Seconds() / (m.BurstInterval + m.BurstDuration).Seconds()
	base := rate / (1 + bursting*(m.BurstFactor-1))
	start := -leadTime
	burst := start + b.exponential(m.BurstInterval)
	for at := start; at < b.options.Duration; {
		current := base
		if at >= burst {
			current *= m.BurstFactor
		}
		at += b.exponential(time.Duration(float64(time.Second) / current))
		if at >= burst+m.BurstDuration {
			burst = at + b.exponential(m.BurstInterval)
		}
		if err := b.addArrival(at); err != nil {
			return err
		}
	}
	return nil
}

// leadTime is how long before the start of the run conversations begin, so that the
// share of later turns is the same at the start as afterwards.
const leadTime = 15 * time.Second

// addArrival adds the conversation of one arrival. For a source with groups, one arrival
// in GroupSize on average adds a whole group and the others add nothing, so that the mean
// rate stays the same.
func (b *builder) addArrival(at time.Duration) error {
	s := b.drawSource()
	if s.GroupSize <= 1 {
		return b.addConversation(s, at)
	}
	if b.random.IntN(s.GroupSize) != 0 {
		return nil
	}
	for range s.GroupSize {
		if err := b.addConversation(s, at+b.exponential(300*time.Millisecond)); err != nil {
			return err
		}
	}
	return nil
}

func (b *builder) drawSource() *Source {
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

// addConversation adds those requests of a conversation and its service calls that fall
// within the duration.
func (b *builder) addConversation(s *Source, at time.Duration) error {
	b.conversations++
	c := b.newConversation(s)
	turns := 1 + b.random.IntN(2*s.MeanTurns-1)
	for turn := range turns {
		r, err := c.nextRequest(turn, at)
		if err != nil {
			return err
		}
		b.addRequest(r)
		if c.tokens > maxConversationTokens {
			break
		}
		at += s.ThinkTime/2 + b.exponential(s.ThinkTime/2)
	}
	for call := range int(b.model.CallsPerConversation) {
		b.addRequest(b.newCall(c, call, at-b.exponential(s.ThinkTime)))
	}
	return nil
}

func (b *builder) newConversation(s *Source) *conversation {
	row, tier := b.organisationRows(s.Organisation)
	c := &conversation{
		random:       b.random,
		model:        b.model.Deployment.Model,
		source:       s,
		organisation: row,
		tier:         tier,
		dataCentre:   b.dataCentres[b.random.IntN(len(b.dataCentres))],
		name:         fmt.Sprintf("%s-%d", s.Organisation, b.conversations),
	}
	c.start(b.systemPrompts[s.Organisation])
	return c
}

func (b *builder) organisationRows(id domain.OrganisationID) (*config.OrganisationRow, *config.TierRow) {
	table := &b.model.Deployment.Table
	org := slices.IndexFunc(table.Organisations, func(r config.OrganisationRow) bool { return r.ID == id })
	row := &table.Organisations[org]
	tier := slices.IndexFunc(table.Tiers, func(r config.TierRow) bool { return r.Name == row.Tier })
	return row, &table.Tiers[tier]
}

func (b *builder) newCall(c *conversation, number int, at time.Duration) Request {
	k := b.drawCallKind()
	body := k.Body
	if strings.Contains(body, "%s") {
		body = fmt.Sprintf(body, fmt.Sprintf("%s-%d", c.name, number))
	}
	return Request{
		Key:           fmt.Sprintf("%s-call-%d", c.name, number),
		Kind:          k.Name,
		Organisation:  c.organisation.ID,
		Tier:          c.tier.Rank,
		DataCentre:    c.dataCentre,
		At:            at,
		Timeout:       k.Timeout,
		Method:        k.Method,
		Path:          "/services/" + b.model.Deployment.Service + k.Path,
		Body:          []byte(body),
		NonIdempotent: k.NonIdempotent,
	}
}

func (b *builder) drawCallKind() *CallKind {
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

// addRequest draws the behaviour of the caller and adds the request if it falls within
// the duration.
func (b *builder) addRequest(r Request) {
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
	b.requests = append(b.requests, r)
}

func (b *builder) exponential(mean time.Duration) time.Duration {
	return time.Duration(b.random.ExpFloat64() * float64(mean))
}
