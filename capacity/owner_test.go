package capacity

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// forecaster is a LeastOutstanding that forecasts a fixed time.
type forecaster struct {
	LeastOutstanding
	forecast Forecast
}

func (f forecaster) Forecast(time.Time, *EndpointState, *Request) Forecast { return f.forecast }

// ownerTest drives an owner directly, with a clock of its own.
type ownerTest struct {
	*owner
	now    time.Time
	member domain.Member
	nextID askID
	asked  []Request
}

func newOwnerTest(options Options, rows ...config.EndpointRow) *ownerTest {
	options = options.withDefaults()
	member := domain.Member{Node: "a1", Incarnation: 1, DataCentre: "a"}
	l := newLayout(testSnapshot(rows), &membership.Snapshot{Self: member, Peers: []membership.Peer{{Member: member}}})
	name := l.centres["a"].groupOf[rows[0].PoolNames()[0]]
	t := &ownerTest{owner: newOwner(&options, name, "a"), now: time.Unix(1000, 0), member: member}
	t.configure(t.now, l)
	t.settle(t.now)
	return t
}

// put asks for a place and returns the ruling.
func (t *ownerTest) put(a Request) ruling {
	t.nextID++
	return t.ask(t.now, t.member, t.pools[a.Pool], &askRequest{ID: t.nextID, Ask: a})
}

// end releases a grant.
func (t *ownerTest) done(id askID) {
	t.release(t.now, t.member, t.pools[quotePool], &releaseMessage{Pool: quotePool, ID: id, Result: &used})
}

// after moves the clock in ticks.
func (t *ownerTest) after(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); t.tick(t.now) {
		t.now = t.now.Add(t.options.Tick)
		t.holderOf(quotePool).heard = t.now
	}
}

func (t *ownerTest) holderOf(name domain.PoolName) *holder {
	return t.pools[name].holder(t.member, t.now)
}

// sent returns what was sent since the last call, as "id:verdict".
func (t *ownerTest) sent() string {
	var texts []string
	for _, o := range t.takeOut() {
		texts = append(texts, fmt.Sprintf("%d:%s", o.ruling.ID, verdictNames[o.ruling.Verdict]))
	}
	return strings.Join(texts, " ")
}

var verdictNames = map[verdict]string{
	verdictQueued: "queued", verdictGranted: "granted", verdictSeek: "seek", verdictRefused: "refused", verdictRevoked: "revoked",
}

// sized returns an ask with so many tokens in all.
func sized(tier domain.Tier, tokens int) Request {
	a := ask(tier)
	a.PromptTokens, a.AnswerTokens = tokens, 0
	return a
}

// urgent returns an ask that must have its first token at once.
func urgent(tier domain.Tier) Request {
	a := ask(tier)
	a.FirstToken = time.Millisecond
	return a
}

func TestRevocationOrder(t *testing.T) {
	type held struct {
		tier     domain.Tier
		tokens   int
		progress progressCode
		age      time.Duration
	}
	tests := []struct {
		name    string
		held    []held
		tier    domain.Tier
		revoked string
	}{
		{"the lowest tier", []held{{1, 1, 0, 0}, {2, 900, 5, time.Minute}}, 0, "2:revoked"},
		{"not dispatched before prefill", []held{{2, 100, 1, time.Second}, {2, 900, 0, 0}}, 0, "2:revoked"},
		{"prefill before decoding", []held{{2, 100, 3, time.Second}, {2, 900, 1, time.Second}}, 0, "2:revoked"},
		{"least prefill", []held{{2, 900, 3, time.Second}, {2, 100, 3, time.Second}}, 0, "2:revoked"},
		{"fewest answer tokens", []held{{2, 100, 5, time.Second}, {2, 100, 3, time.Second}}, 0, "2:revoked"},
		{"none of its own tier", []held{{1, 1, 0, 0}, {1, 1, 0, 0}}, 1, ""},
		{"none of a higher tier", []held{{0, 1, 0, 0}, {0, 1, 0, 0}}, 2, ""},
	}
	shapes := [][]config.EndpointRow{
		{engine("e1", "a", 2, "quote")},
		{engine("e1", "a", 1, "quote"), engine("e2", "a", 1, "quote")},
	}
	for _, test := range tests {
		for _, rows := range shapes {
			t.Run(fmt.Sprint(test.name, len(rows)), func(t *testing.T) {
				o := newOwnerTest(Options{}, rows...)
				end := o.now
				for i, h := range test.held {
					o.now = end.Add(-h.age)
					assert.Equal(t, o.put(sized(h.tier, h.tokens)).Verdict, verdictGranted)
					g := o.holderOf(quotePool).grants[askID(i+1)]
					g.place.progress(g, h.progress)
				}
				o.now = end
				assert.Equal(t, o.put(urgent(test.tier)).Verdict, verdictQueued)
				assert.Equal(t, o.sent(), test.revoked)
				if test.revoked == "" {
					return
				}
				o.done(2)
				assert.Equal(t, o.sent(), "3:granted")
			})
		}
	}
}

// A revocation that goes unanswered is repeated, and another grant is revoked.
func TestRevocationIsRepeated(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 2, "quote"))
	o.put(ask(2))
	o.put(ask(2))
	o.put(urgent(0))
	assert.Equal(t, o.sent(), "2:revoked")
	o.after(o.options.RevokeInterval - o.options.Tick)
	assert.Equal(t, o.sent(), "")
	o.after(o.options.Tick)
	assert.Equal(t, o.sent(), "1:revoked 2:revoked")
}

// An ask is placed in time by revocation, and no sooner than its aim demands.
func TestRevocationWaitsForTheAim(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote"))
	o.put(ask(2))
	a := ask(0)
	a.FirstToken = 2 * time.Second
	assert.Equal(t, o.put(a).Verdict, verdictQueued)
	o.after(1800 * time.Millisecond)
	assert.Equal(t, o.sent(), "")
	o.after(150 * time.Millisecond)
	assert.Equal(t, o.sent(), "1:revoked")
}

// Small asks do not keep a large one waiting for ever, nor does it keep all
// endpoints from them.
func TestTokenLimit(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 9, "quote"), engine("e2", "a", 9, "quote")}
	rows[0].TokenLimit, rows[1].TokenLimit = 100, 100
	o := newOwnerTest(Options{}, rows...)
	for range 4 {
		assert.Equal(t, o.put(sized(1, 50)).Verdict, verdictGranted)
	}
	assert.Equal(t, o.put(sized(1, 90)).Verdict, verdictQueued)
	for range 3 {
		assert.Equal(t, o.put(sized(1, 40)).Verdict, verdictQueued)
	}
	o.done(1)
	assert.Equal(t, o.sent(), "", "50 free at one endpoint: kept for the large ask")
	o.done(2)
	assert.Equal(t, o.sent(), "6:granted", "50 free at the other: a small one passes")
	o.done(3)
	assert.Equal(t, o.sent(), "5:granted")
	o.done(4)
	assert.Equal(t, o.sent(), "7:granted")
	assert.Equal(t, o.put(sized(0, 900)).Verdict, verdictQueued)
	o.done(5)
	assert.Equal(t, o.sent(), "9:granted", "more than the limit fits an empty endpoint")
}

// An endpoint's weight scales its limit.
func TestWeight(t *testing.T) {
	for weight, granted := range map[int]int{0: 0, 1: 1, 50: 2, 100: 4} {
		row := engine("e1", "a", 4, "quote")
		row.Weight = weight
		o := newOwnerTest(Options{}, row)
		for range 9 {
			o.put(ask(0))
		}
		assert.Equal(t, len(o.holderOf(quotePool).grants), granted, "weight %d", weight)
	}
}

// holdback is a Chooser that places an ask only when it presses.
type holdback struct {
	LeastOutstanding
	calls int
}

func (h *holdback) Choose(_ time.Time, w *QueuedRequest, _ []*EndpointState) (int, bool) {
	h.calls++
	return 0, w.Urgent
}

// A Chooser may hold asks back until they press, and is not asked for all of them
// each time.
func TestHeldBack(t *testing.T) {
	chooser := &holdback{}
	o := newOwnerTest(Options{NewChooser: func() Chooser { return chooser }}, engine("e1", "a", 1, "quote"))
	for range 100 {
		assert.Equal(t, o.put(ask(1)).Verdict, verdictQueued)
	}
	chooser.calls = 0
	o.place(o.now)
	assert.Equal(t, chooser.calls, o.options.LookAhead)
	aimed := ask(0)
	aimed.FirstToken = time.Second
	assert.Equal(t, o.put(aimed).Verdict, verdictQueued)
	o.after(800 * time.Millisecond)
	assert.Equal(t, o.sent(), "")
	o.after(150 * time.Millisecond)
	assert.Equal(t, o.sent(), "101:granted")
}

func TestBoundOfTheQueue(t *testing.T) {
	o := newOwnerTest(Options{QueueLimit: 2}, engine("e1", "a", 1, "quote"))
	for _, tier := range []domain.Tier{2, 1, 2} {
		o.put(ask(tier))
	}
	assert.Equal(t, o.put(ask(2)).Reason, reasonShed, "the last of the lowest tier")
	assert.Equal(t, o.put(ask(0)).Verdict, verdictQueued)
	assert.Equal(t, o.sent(), "3:refused")
	assert.Equal(t, o.put(ask(0)).Verdict, verdictQueued)
	assert.Equal(t, o.sent(), "1:revoked", "before tier 1 is shed, tier 2 must not be served")
	assert.Equal(t, o.queue.Len(), 3, "longer by the place that is being freed")
	o.done(1)
	assert.Equal(t, o.sent(), "5:granted")
	assert.Equal(t, o.put(ask(0)).Verdict, verdictQueued)
	assert.Equal(t, o.sent(), "2:refused")
}

func TestEarlyRefusal(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	o := newOwnerTest(Options{}, rows...)
	for range 20 {
		o.put(ask(1))
		o.now = o.now.Add(8 * time.Second)
		o.done(o.nextID)
	}
	hurried := ask(1)
	hurried.Deadline = 10 * time.Second
	o.put(ask(1))
	o.put(ask(1))
	assert.Equal(t, o.put(hurried).Verdict, verdictQueued, "a place is free in about 4 s")
	assert.Equal(t, o.put(hurried).Verdict, verdictQueued)
	assert.Equal(t, o.put(hurried).Verdict, verdictQueued)
	r := o.put(hurried)
	assert.Equal(t, r.Reason, reasonDeadline, "16 s are too long")
	assert.Equal(t, r.RetryAfter, 16*time.Second)
	o.sent()
	higher := ask(0)
	o.put(higher)
	o.put(higher)
	o.after(o.options.Tick)
	assert.Equal(t, o.sent(), "24:refused 25:refused", "those overtaken are told at once")

	slow := newOwnerTest(Options{NewChooser: func() Chooser {
		return forecaster{forecast: Forecast{FirstToken: time.Second, Total: 20 * time.Second}}
	}}, rows...)
	assert.Equal(t, slow.put(hurried).Reason, reasonDeadline, "though a place is free")
	assert.Equal(t, slow.put(ask(1)).Verdict, verdictGranted)
}

// Fairness between organisations holds through the owner.
func TestSharesByWeight(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote"))
	o.put(ask(1))
	for range 40 {
		o.put(ask(1))
		a := ask(1)
		a.Organisation = "heavy"
		o.put(a)
	}
	served := map[domain.OrganisationID]int{"light": 1}
	for id := askID(1); len(o.sent()) == 0 && served["heavy"]+served["light"] < 40; {
		o.done(id)
		for next, g := range o.holderOf(quotePool).grants {
			id = next
			served[g.ask.Organisation]++
		}
		o.takeOut()
	}
	assert.Equal(t, served["heavy"], 30)
}

// A group's pools share its endpoints' limits, and the strict order of tiers.
func TestSharedEndpoint(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote hint"), engine("e2", "a", 1, "hint"))
	hint := ask(2)
	hint.Pool = "model/hint"
	assert.Equal(t, len(o.pools), 2)
	assert.Equal(t, o.put(hint).Verdict, verdictGranted)
	assert.Equal(t, o.put(hint).Verdict, verdictGranted)
	assert.Equal(t, o.put(hint).Verdict, verdictQueued)
	assert.Equal(t, o.put(urgent(1)).Verdict, verdictQueued)
	assert.Equal(t, o.sent(), "1:revoked", "the one at the endpoint that serves both")
}

// After an oversleep the owner grants nothing until it is settled again.
func TestOversleep(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote"))
	o.after(time.Second)
	assert.Assert(t, !o.overslept(o.now.Add(o.options.SettleTimeout)))
	o.now = o.now.Add(30 * time.Second)
	assert.Assert(t, o.overslept(o.now))
	o.unsettle()
	assert.Equal(t, o.put(urgent(0)).Verdict, verdictQueued)
	o.settle(o.now)
	assert.Equal(t, o.sent(), "1:granted")
}
