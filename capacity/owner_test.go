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

// fixedForecastChooser is a LeastOutstanding that forecasts a fixed time.
type fixedForecastChooser struct {
	LeastOutstanding
	forecast Forecast
}

func (f fixedForecastChooser) Forecast(time.Time, *EndpointState, *Request) Forecast {
	return f.forecast
}

// ownerTest drives an owner directly, with its own clock.
type ownerTest struct {
	*owner
	now      time.Time
	member   domain.Member
	nextID   requestID
	requests []Request
}

func newOwnerTest(options Options, rows ...config.EndpointRow) *ownerTest {
	options = options.withDefaults()
	member := domain.Member{Node: "a1", Incarnation: 1, DataCentre: "a"}
	l := newLayout(testSnapshot(rows), &membership.Snapshot{Self: member, Peers: []membership.Peer{{Member: member}}})
	name := l.dataCentres["a"].groupOf[rows[0].PoolNames()[0]]
	t := &ownerTest{owner: newOwner(&options, name, "a"), now: time.Unix(1000, 0), member: member}
	t.configure(t.now, l)
	t.settle(t.now)
	return t
}

// request requests a slot and returns the decision.
func (t *ownerTest) request(a Request) decision {
	t.nextID++
	return t.acquire(t.now, t.member, t.pools[a.Pool], &acquireMessage{ID: t.nextID, Request: a})
}

func (t *ownerTest) releaseGrant(id requestID) {
	t.release(t.now, t.member, t.pools[quotePool], &releaseMessage{Pool: quotePool, ID: id, Result: &completedResult})
}

// advance moves the clock forward in ticks.
func (t *ownerTest) advance(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); t.tick(t.now) {
		t.now = t.now.Add(t.options.Tick)
		t.holderOf(quotePool).lastContact = t.now
	}
}

func (t *ownerTest) holderOf(name domain.PoolName) *holder {
	return t.pools[name].holder(t.member, t.now)
}

// takeSent returns the decisions sent since the last call, as "id:kind".
func (t *ownerTest) takeSent() string {
	var texts []string
	for _, o := range t.takeOut() {
		texts = append(texts, fmt.Sprintf("%d:%s", o.decision.ID, decisionNames[o.decision.Kind]))
	}
	return strings.Join(texts, " ")
}

var decisionNames = map[decisionKind]string{
	decisionQueued: "queued", decisionGranted: "granted", decisionSearch: "search", decisionRefused: "refused", decisionRevoked: "revoked",
}

// requestOfSize returns a request with that many tokens in total.
func requestOfSize(tier domain.Tier, tokens int) Request {
	a := newRequest(tier)
	a.PromptTokens, a.AnswerTokens = tokens, 0
	return a
}

// urgentRequest returns a request whose first-token target is due immediately.
func urgentRequest(tier domain.Tier) Request {
	a := newRequest(tier)
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
					assert.Equal(t, o.request(requestOfSize(h.tier, h.tokens)).Kind, decisionGranted)
					g := o.holderOf(quotePool).grants[requestID(i+1)]
					g.endpoint.setProgress(g, h.progress)
				}
				o.now = end
				assert.Equal(t, o.request(urgentRequest(test.tier)).Kind, decisionQueued)
				assert.Equal(t, o.takeSent(), test.revoked)
				if test.revoked == "" {
					return
				}
				o.releaseGrant(2)
				assert.Equal(t, o.takeSent(), "3:granted")
			})
		}
	}
}

// A revocation without a release is repeated, and another grant is revoked.
func TestUnansweredRevocationIsRepeated(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 2, "quote"))
	o.request(newRequest(2))
	o.request(newRequest(2))
	o.request(urgentRequest(0))
	assert.Equal(t, o.takeSent(), "2:revoked")
	o.advance(o.options.RevokeInterval - o.options.Tick)
	assert.Equal(t, o.takeSent(), "")
	o.advance(o.options.Tick)
	assert.Equal(t, o.takeSent(), "1:revoked 2:revoked")
}

// A revocation for a request comes in time for its first-token target, and not earlier
// than necessary.
func TestRevocationWaitsForFirstTokenTarget(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote"))
	o.request(newRequest(2))
	a := newRequest(0)
	a.FirstToken = 2 * time.Second
	assert.Equal(t, o.request(a).Kind, decisionQueued)
	o.advance(1800 * time.Millisecond)
	assert.Equal(t, o.takeSent(), "")
	o.advance(150 * time.Millisecond)
	assert.Equal(t, o.takeSent(), "1:revoked")
}

// Small requests must not starve a large one, and the large one must not keep all
// endpoints from them.
func TestTokenLimit(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 9, "quote"), engine("e2", "a", 9, "quote")}
	rows[0].TokenLimit, rows[1].TokenLimit = 100, 100
	o := newOwnerTest(Options{}, rows...)
	for range 4 {
		assert.Equal(t, o.request(requestOfSize(1, 50)).Kind, decisionGranted)
	}
	assert.Equal(t, o.request(requestOfSize(1, 90)).Kind, decisionQueued)
	for range 3 {
		assert.Equal(t, o.request(requestOfSize(1, 40)).Kind, decisionQueued)
	}
	o.releaseGrant(1)
	assert.Equal(t, o.takeSent(), "", "50 free at one endpoint: reserved for the large request")
	o.releaseGrant(2)
	assert.Equal(t, o.takeSent(), "6:granted", "50 free at the other endpoint: a small request is placed")
	o.releaseGrant(3)
	assert.Equal(t, o.takeSent(), "5:granted")
	o.releaseGrant(4)
	assert.Equal(t, o.takeSent(), "7:granted")
	assert.Equal(t, o.request(requestOfSize(0, 900)).Kind, decisionQueued)
	o.releaseGrant(5)
	assert.Equal(t, o.takeSent(), "9:granted", "a request above the limit fits an empty endpoint")
}

// An endpoint's weight scales its limit.
func TestWeight(t *testing.T) {
	for weight, granted := range map[int]int{0: 0, 1: 1, 50: 2, 100: 4} {
		row := engine("e1", "a", 4, "quote")
		row.Weight = weight
		o := newOwnerTest(Options{}, row)
		for range 9 {
			o.request(newRequest(0))
		}
		assert.Equal(t, len(o.holderOf(quotePool).grants), granted, "weight %d", weight)
	}
}

// deferringChooser is a Chooser that places a request only when it is urgent.
type deferringChooser struct {
	LeastOutstanding
	calls int
}

func (h *deferringChooser) Choose(_ time.Time, w *QueuedRequest, _ []*EndpointState) (int, bool) {
	h.calls++
	return 0, w.Urgent
}

// A Chooser may defer requests until they are urgent, and is not called for all of them
// in each round.
func TestChooserDefersRequests(t *testing.T) {
	chooser := &deferringChooser{}
	o := newOwnerTest(Options{NewChooser: func() Chooser { return chooser }}, engine("e1", "a", 1, "quote"))
	for range 100 {
		assert.Equal(t, o.request(newRequest(1)).Kind, decisionQueued)
	}
	chooser.calls = 0
	o.schedule(o.now)
	assert.Equal(t, chooser.calls, o.options.LookAhead)
	targeted := newRequest(0)
	targeted.FirstToken = time.Second
	assert.Equal(t, o.request(targeted).Kind, decisionQueued)
	o.advance(800 * time.Millisecond)
	assert.Equal(t, o.takeSent(), "")
	o.advance(150 * time.Millisecond)
	assert.Equal(t, o.takeSent(), "101:granted")
}

func TestQueueLimit(t *testing.T) {
	o := newOwnerTest(Options{QueueLimit: 2}, engine("e1", "a", 1, "quote"))
	for _, tier := range []domain.Tier{2, 1, 2} {
		o.request(newRequest(tier))
	}
	assert.Equal(t, o.request(newRequest(2)).Reason, reasonShed, "the last request of the lowest tier")
	assert.Equal(t, o.request(newRequest(0)).Kind, decisionQueued)
	assert.Equal(t, o.takeSent(), "3:refused")
	assert.Equal(t, o.request(newRequest(0)).Kind, decisionQueued)
	assert.Equal(t, o.takeSent(), "1:revoked", "before tier 1 is shed, tier 2 must not be served")
	assert.Equal(t, o.queue.Len(), 3, "extended by the slot that is being freed")
	o.releaseGrant(1)
	assert.Equal(t, o.takeSent(), "5:granted")
	assert.Equal(t, o.request(newRequest(0)).Kind, decisionQueued)
	assert.Equal(t, o.takeSent(), "2:refused")
}

func TestEarlyRefusal(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	o := newOwnerTest(Options{}, rows...)
	for range 20 {
		o.request(newRequest(1))
		o.now = o.now.Add(8 * time.Second)
		o.releaseGrant(o.nextID)
	}
	shortDeadline := newRequest(1)
	shortDeadline.Deadline = 10 * time.Second
	o.request(newRequest(1))
	o.request(newRequest(1))
	assert.Equal(t, o.request(shortDeadline).Kind, decisionQueued, "a slot is free in about 4 s")
	assert.Equal(t, o.request(shortDeadline).Kind, decisionQueued)
	assert.Equal(t, o.request(shortDeadline).Kind, decisionQueued)
	r := o.request(shortDeadline)
	assert.Equal(t, r.Reason, reasonDeadline, "an estimated wait of 16 s is too long")
	assert.Equal(t, r.RetryAfter, 16*time.Second)
	o.takeSent()
	higher := newRequest(0)
	o.request(higher)
	o.request(higher)
	o.advance(o.options.Tick)
	assert.Equal(t, o.takeSent(), "24:refused 25:refused", "requests that are overtaken are refused on the next tick")

	slow := newOwnerTest(Options{NewChooser: func() Chooser {
		return fixedForecastChooser{forecast: Forecast{FirstToken: time.Second, Total: 20 * time.Second}}
	}}, rows...)
	assert.Equal(t, slow.request(shortDeadline).Reason, reasonDeadline, "although a slot is free")
	assert.Equal(t, slow.request(newRequest(1)).Kind, decisionGranted)
}

// The owner serves organisations in proportion to their weights.
func TestSharesByWeight(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote"))
	o.request(newRequest(1))
	for range 40 {
		o.request(newRequest(1))
		a := newRequest(1)
		a.Organisation = "heavy"
		o.request(a)
	}
	served := map[domain.OrganisationID]int{"light": 1}
	for id := requestID(1); len(o.takeSent()) == 0 && served["heavy"]+served["light"] < 40; {
		o.releaseGrant(id)
		for next, g := range o.holderOf(quotePool).grants {
			id = next
			served[g.request.Organisation]++
		}
		o.takeOut()
	}
	assert.Equal(t, served["heavy"], 30)
}

// The pools of a group share their endpoints' limits and the strict order of tiers.
func TestSharedEndpoint(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote hint"), engine("e2", "a", 1, "hint"))
	hint := newRequest(2)
	hint.Pool = "model/hint"
	assert.Equal(t, len(o.pools), 2)
	assert.Equal(t, o.request(hint).Kind, decisionGranted)
	assert.Equal(t, o.request(hint).Kind, decisionGranted)
	assert.Equal(t, o.request(hint).Kind, decisionQueued)
	assert.Equal(t, o.request(urgentRequest(1)).Kind, decisionQueued)
	assert.Equal(t, o.takeSent(), "1:revoked", "the grant at the endpoint that serves both pools")
}

// After missed ticks the owner grants nothing until it is settled again.
func TestMissedTicks(t *testing.T) {
	o := newOwnerTest(Options{}, engine("e1", "a", 1, "quote"))
	o.advance(time.Second)
	assert.Assert(t, !o.missedTicks(o.now.Add(o.options.SettleTimeout)))
	o.now = o.now.Add(30 * time.Second)
	assert.Assert(t, o.missedTicks(o.now))
	o.resetSettled()
	assert.Equal(t, o.request(urgentRequest(0)).Kind, decisionQueued)
	o.settle(o.now)
	assert.Equal(t, o.takeSent(), "1:granted")
}
