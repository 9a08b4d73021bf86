package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

var epoch = time.Unix(1_000_000, 0)

// tableOf returns the table of a node of dc00 with the given records.
func tableOf(records ...record) *table {
	t := newTable(dcID(0))
	for _, r := range records {
		t.insert(r, epoch)
	}
	return t
}

func rec(dc, i int, change func(*record)) record {
	r := newRecord(lifeOf(dcID(dc), i, 1), 0, intentServing)
	if change != nil {
		change(&r)
	}
	return r
}

func lost(r *record) { r.Health = healthUnreachable }

func TestRecordOrder(t *testing.T) {
	base := rec(0, 1, func(r *record) { r.Incarnation, r.Version, r.Health = 5, 5, healthSuspect })
	cases := []struct {
		name    string
		change  func(*record)
		later   bool
		earlier bool
	}{
		{"same", func(*record) {}, false, false},
		{"worse health", func(r *record) { r.Health = healthUnreachable }, true, false},
		{"refuted", func(r *record) { r.Version, r.Health = 6, healthOK }, true, false},
		{"later life", func(r *record) { r.Incarnation, r.Version, r.Health = 6, 0, healthOK }, true, false},
		{"earlier life, gone", func(r *record) { r.Incarnation, r.Version, r.Health = 4, 9, healthGone }, false, true},
		{"listed only", func(r *record) { r.Incarnation, r.Version, r.Health = 0, 9, healthGone }, false, true},
	}
	for _, c := range cases {
		r := base
		c.change(&r)
		assert.Equal(t, r.supersedes(base), c.later, c.name)
		assert.Equal(t, base.supersedes(r), c.earlier, c.name)
	}
}

func TestTableHash(t *testing.T) {
	a := tableOf(rec(0, 1, nil), rec(1, 2, nil))
	b := tableOf(rec(1, 2, nil), rec(0, 1, nil))
	assert.Equal(t, a.digest(), b.digest())
	assert.Assert(t, a.merge(rec(0, 1, func(r *record) { r.Health = healthSuspect }), epoch))
	assert.Equal(t, a.digest(), b.digest(), "suspicion passes by itself")
	assert.Assert(t, a.merge(rec(0, 1, lost), epoch))
	assert.Assert(t, a.digest() != b.digest())
	gone := rec(0, 1, func(r *record) { r.Health = healthGone })
	assert.Assert(t, a.merge(gone, epoch))
	assert.Equal(t, a.digest(), tableOf(rec(1, 2, nil)).digest(), "lives that are gone do not count")
	assert.Assert(t, a.forgetGone(epoch))
	assert.Assert(t, !a.merge(gone, epoch), "gone is no news of an unknown node")
}

func TestListJudgement(t *testing.T) {
	host := func(dc, i int) hostlist.Host { return hostOf(lifeOf(dcID(dc), i, 1)) }
	down := map[domain.DataCentre]bool{dcID(1): false}
	up := map[domain.DataCentre]bool{dcID(1): true}
	cases := []struct {
		name  string
		table *table
		up    map[domain.DataCentre]bool
		hosts []hostlist.Host
		// steps are the times at which the list is judged.
		steps []time.Duration
		gone  int
	}{
		{"absent and unreachable for long", tableOf(rec(0, 0, nil), rec(0, 1, lost)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 20 * time.Second, 40 * time.Second, 61 * time.Second}, 1},
		{"not for long enough", tableOf(rec(0, 0, nil), rec(0, 1, lost)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 20 * time.Second, 40 * time.Second, 59 * time.Second}, 0},
		{"not watched in between", tableOf(rec(0, 0, nil), rec(0, 1, lost)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, time.Hour}, 0},
		{"listed", tableOf(rec(0, 0, nil), rec(0, 1, lost)), up,
			[]hostlist.Host{host(0, 0), host(0, 1)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"answers", tableOf(rec(0, 0, nil), rec(0, 1, nil), rec(0, 2, nil)), up,
			[]hostlist.Host{host(0, 0), host(0, 2)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"the list lacks the reader", tableOf(rec(0, 0, nil), rec(0, 1, lost), rec(0, 2, nil), rec(0, 3, nil)), up,
			[]hostlist.Host{host(0, 2), host(0, 3)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"the list lacks many that answer", tableOf(rec(0, 0, nil), rec(0, 1, lost), rec(0, 2, nil), rec(0, 3, nil)), up,
			[]hostlist.Host{host(0, 0), host(0, 3)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 1},
		{"the list lacks most that answer", tableOf(rec(0, 0, nil), rec(0, 1, lost), rec(0, 2, nil), rec(0, 3, nil)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"a data centre that is cut off and off the list", tableOf(rec(0, 0, nil), rec(1, 1, nil)), down,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 1},
		{"a data centre that is cut off and listed", tableOf(rec(0, 0, nil), rec(1, 1, nil)), down,
			[]hostlist.Host{host(0, 0), host(1, 1)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
	}
	for _, c := range cases {
		var l listing
		var last listVerdict
		for _, step := range c.steps {
			last = l.judge(c.hosts, c.table, c.up, nodeID(dcID(0), 0), time.Minute, epoch.Add(step))
		}
		assert.Equal(t, len(last.learn), c.gone, c.name)
	}
}

func TestListIntroducesHosts(t *testing.T) {
	listedOnly := func(version uint64, h health) record {
		return rec(0, 3, func(r *record) { r.Incarnation, r.Version, r.Health = 0, version, h })
	}
	cases := []struct {
		name    string
		table   *table
		host    domain.Member
		version uint64
		learnt  int
	}{
		{"new host", tableOf(rec(0, 0, nil)), lifeOf(dcID(0), 3, 0), 0, 1},
		{"known host", tableOf(rec(0, 0, nil), rec(0, 3, nil)), lifeOf(dcID(0), 3, 0), 0, 0},
		{"still silent", tableOf(rec(0, 0, nil), listedOnly(4, healthUnreachable)), lifeOf(dcID(0), 3, 0), 0, 0},
		{"listed again", tableOf(rec(0, 0, nil), listedOnly(4, healthGone)), lifeOf(dcID(0), 3, 0), 5, 1},
		{"host of an unknown data centre", tableOf(rec(0, 0, nil)), lifeOf(dcID(1), 3, 0), 0, 1},
		{"host of a known data centre", tableOf(rec(0, 0, nil), rec(1, 2, nil)), lifeOf(dcID(1), 3, 0), 0, 0},
	}
	for _, c := range cases {
		var l listing
		hosts := []hostlist.Host{hostOf(lifeOf(dcID(0), 0, 1)), hostOf(c.host)}
		v := l.judge(hosts, c.table, nil, nodeID(dcID(0), 0), time.Minute, epoch)
		assert.Equal(t, len(v.learn), c.learnt, c.name)
		for _, r := range v.learn {
			assert.Equal(t, r.Version, c.version, c.name)
			assert.Equal(t, r.Health, healthUnreachable, c.name)
		}
	}
}

func TestDataCentreIsUpByItsDelegatesWord(t *testing.T) {
	far := dcID(1)
	delegates := []domain.NodeID{nodeID(dcID(0), 0), nodeID(dcID(0), 1)}
	word := func(i int, up bool) contact {
		return contact{Node: nodeID(dcID(0), i), Incarnation: 1, DataCentre: far, Sequence: 1, Up: up}
	}
	cases := []struct {
		name     string
		words    []contact
		previous bool
		up       bool
	}{
		{"nobody has said anything", nil, false, false},
		{"nobody yet, after delegates changed", nil, true, true},
		{"one reaches it", []contact{word(0, false), word(1, true)}, false, true},
		{"none reaches it", []contact{word(0, false), word(1, false)}, true, false},
		{"one has not said anything yet", []contact{word(0, false)}, true, false},
		{"somebody else's word", []contact{word(2, true), word(0, false)}, true, false},
	}
	for _, c := range cases {
		table := tableOf(rec(0, 0, nil), rec(0, 1, nil), rec(0, 2, nil), rec(1, 0, nil))
		for _, w := range c.words {
			assert.Assert(t, table.mergeContact(w))
		}
		assert.Equal(t, table.isUp(far, delegates, c.previous), c.up, c.name)
		// A later life has said nothing.
		for i := range 3 {
			table.merge(rec(0, i, func(r *record) { r.Incarnation = 2 }), epoch)
		}
		assert.Equal(t, table.isUp(far, delegates, c.previous), c.previous, c.name)
		assert.Equal(t, table.contactHash, uint64(0))
	}
}

func TestBroadcastsAreBounded(t *testing.T) {
	var b broadcasts
	b.addRecord(rec(0, 1, lost))
	b.addRecord(rec(0, 1, func(r *record) { r.Version = 1 }))
	for i := range 20 {
		b.addContact(contact{Node: nodeID(dcID(0), i), DataCentre: dcID(1)})
	}
	assert.Equal(t, b.fresh, 21)
	sent, messages := 0, 0
	for len(b.pending) > 0 {
		records, contacts := b.take(piggybackLimit, 12)
		assert.Assert(t, len(records)+len(contacts) <= piggybackLimit)
		sent += len(records) + len(contacts)
		messages++
	}
	assert.Equal(t, b.fresh, 0)
	assert.Equal(t, sent, 21*retransmitFactor*4)
	assert.Assert(t, messages <= sent/piggybackLimit+1)
}

func TestAbsenceCountsOnlyFromSettledNodes(t *testing.T) {
	inBubble(t, 2, 3, nil, func(t *testing.T, x *fleet) {
		s := x.nodes[x.order[0]].Service
		time.Sleep(absentAge)
		far := x.group(1)
		reply := pullReply{Tables: []dataCentreTable{
			{DataCentre: dcID(0), Records: []record{rec(0, 0, nil)}},
			{DataCentre: dcID(1), Records: []record{rec(1, 0, nil), rec(1, 1, nil)}},
		}}
		s.applyPull(reply, false)
		synctest.Wait()
		assert.Assert(t, x.all(x.order[:1], x.order, StatusAlive))
		reply.Settled = true
		s.applyPull(reply, false)
		assert.Assert(t, x.all(x.order[:1], far[2:], StatusGone))
		assert.Assert(t, x.all(x.order[:1], others(x.order, far[2]), StatusAlive), "those of the own data centre answer")
	})
}
