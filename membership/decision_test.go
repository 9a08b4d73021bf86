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

func recordOf(dc, i int, change func(*record)) record {
	r := newRecord(memberOf(dcID(dc), i, 1), 0, intentServing)
	if change != nil {
		change(&r)
	}
	return r
}

func setUnreachable(r *record) { r.Health = healthUnreachable }

func TestRecordSupersedes(t *testing.T) {
	base := recordOf(0, 1, func(r *record) { r.Incarnation, r.Version, r.Health = 5, 5, healthSuspect })
	cases := []struct {
		name    string
		change  func(*record)
		later   bool
		earlier bool
	}{
		{"same", func(*record) {}, false, false},
		{"worse health", func(r *record) { r.Health = healthUnreachable }, true, false},
		{"refuted", func(r *record) { r.Version, r.Health = 6, healthOK }, true, false},
		{"later incarnation", func(r *record) { r.Incarnation, r.Version, r.Health = 6, 0, healthOK }, true, false},
		{"earlier incarnation, gone", func(r *record) { r.Incarnation, r.Version, r.Health = 4, 9, healthGone }, false, true},
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
	a := tableOf(recordOf(0, 1, nil), recordOf(1, 2, nil))
	b := tableOf(recordOf(1, 2, nil), recordOf(0, 1, nil))
	assert.Equal(t, a.digest(), b.digest())
	assert.Assert(t, a.merge(recordOf(0, 1, func(r *record) { r.Health = healthSuspect }), epoch))
	assert.Equal(t, a.digest(), b.digest(), "suspicion is not hashed")
	assert.Assert(t, a.merge(recordOf(0, 1, setUnreachable), epoch))
	assert.Assert(t, a.digest() != b.digest())
	gone := recordOf(0, 1, func(r *record) { r.Health = healthGone })
	assert.Assert(t, a.merge(gone, epoch))
	assert.Equal(t, a.digest(), tableOf(recordOf(1, 2, nil)).digest(), "gone members are not hashed")
	assert.Assert(t, a.removeGone(epoch))
	assert.Assert(t, !a.merge(gone, epoch), "a gone record of an unknown node is ignored")
}

func TestHostListEvaluation(t *testing.T) {
	host := func(dc, i int) hostlist.Host { return hostOf(memberOf(dcID(dc), i, 1)) }
	down := map[domain.DataCentre]bool{dcID(1): false}
	up := map[domain.DataCentre]bool{dcID(1): true}
	cases := []struct {
		name  string
		table *table
		up    map[domain.DataCentre]bool
		hosts []hostlist.Host
		// steps are the offsets from epoch at which the list is evaluated.
		steps []time.Duration
		gone  int
	}{
		{"absent and unreachable for long enough", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 20 * time.Second, 40 * time.Second, 61 * time.Second}, 1},
		{"not for long enough", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 20 * time.Second, 40 * time.Second, 59 * time.Second}, 0},
		{"not read in between", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, time.Hour}, 0},
		{"listed", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable)), up,
			[]hostlist.Host{host(0, 0), host(0, 1)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"responsive", tableOf(recordOf(0, 0, nil), recordOf(0, 1, nil), recordOf(0, 2, nil)), up,
			[]hostlist.Host{host(0, 0), host(0, 2)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"the reader is missing", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable), recordOf(0, 2, nil), recordOf(0, 3, nil)), up,
			[]hostlist.Host{host(0, 2), host(0, 3)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"a third of the responsive nodes is missing", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable), recordOf(0, 2, nil), recordOf(0, 3, nil)), up,
			[]hostlist.Host{host(0, 0), host(0, 3)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 1},
		{"most responsive nodes are missing", tableOf(recordOf(0, 0, nil), recordOf(0, 1, setUnreachable), recordOf(0, 2, nil), recordOf(0, 3, nil)), up,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
		{"a partitioned data centre that is absent", tableOf(recordOf(0, 0, nil), recordOf(1, 1, nil)), down,
			[]hostlist.Host{host(0, 0)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 1},
		{"a partitioned data centre that is listed", tableOf(recordOf(0, 0, nil), recordOf(1, 1, nil)), down,
			[]hostlist.Host{host(0, 0), host(1, 1)}, []time.Duration{0, 25 * time.Second, 50 * time.Second, 75 * time.Second}, 0},
	}
	for _, c := range cases {
		var state hostListState
		var last hostListDecision
		for _, step := range c.steps {
			last = state.evaluate(c.hosts, c.table, c.up, nodeID(dcID(0), 0), time.Minute, epoch.Add(step))
		}
		assert.Equal(t, len(last.records), c.gone, c.name)
	}
}

func TestHostListAddsHosts(t *testing.T) {
	listedOnly := func(version uint64, h health) record {
		return recordOf(0, 3, func(r *record) { r.Incarnation, r.Version, r.Health = 0, version, h })
	}
	cases := []struct {
		name    string
		table   *table
		host    domain.Member
		version uint64
		merged  int
	}{
		{"new host", tableOf(recordOf(0, 0, nil)), memberOf(dcID(0), 3, 0), 0, 1},
		{"known host", tableOf(recordOf(0, 0, nil), recordOf(0, 3, nil)), memberOf(dcID(0), 3, 0), 0, 0},
		{"listed, never answered", tableOf(recordOf(0, 0, nil), listedOnly(4, healthUnreachable)), memberOf(dcID(0), 3, 0), 0, 0},
		{"listed again", tableOf(recordOf(0, 0, nil), listedOnly(4, healthGone)), memberOf(dcID(0), 3, 0), 5, 1},
		{"host of an unknown data centre", tableOf(recordOf(0, 0, nil)), memberOf(dcID(1), 3, 0), 0, 1},
		{"host of a known data centre", tableOf(recordOf(0, 0, nil), recordOf(1, 2, nil)), memberOf(dcID(1), 3, 0), 0, 0},
	}
	for _, c := range cases {
		var state hostListState
		hosts := []hostlist.Host{hostOf(memberOf(dcID(0), 0, 1)), hostOf(c.host)}
		decision := state.evaluate(hosts, c.table, nil, nodeID(dcID(0), 0), time.Minute, epoch)
		assert.Equal(t, len(decision.records), c.merged, c.name)
		for _, r := range decision.records {
			assert.Equal(t, r.Version, c.version, c.name)
			assert.Equal(t, r.Health, healthUnreachable, c.name)
		}
	}
}

func TestReachabilityFollowsDelegateReports(t *testing.T) {
	remote := dcID(1)
	delegates := []domain.NodeID{nodeID(dcID(0), 0), nodeID(dcID(0), 1)}
	report := func(i int, up bool) reachability {
		return reachability{Node: nodeID(dcID(0), i), Incarnation: 1, DataCentre: remote, Sequence: 1, Reachable: up}
	}
	cases := []struct {
		name     string
		reports  []reachability
		previous bool
		up       bool
	}{
		{"no report", nil, false, false},
		{"no report after the delegates changed", nil, true, true},
		{"one reaches it", []reachability{report(0, false), report(1, true)}, false, true},
		{"none reaches it", []reachability{report(0, false), report(1, false)}, true, false},
		{"one has not reported yet", []reachability{report(0, false)}, true, false},
		{"reports of other nodes are ignored", []reachability{report(2, true), report(0, false)}, true, false},
	}
	for _, c := range cases {
		table := tableOf(recordOf(0, 0, nil), recordOf(0, 1, nil), recordOf(0, 2, nil), recordOf(1, 0, nil))
		for _, r := range c.reports {
			assert.Assert(t, table.mergeReachability(r))
		}
		assert.Equal(t, table.isReachable(remote, delegates, c.previous), c.up, c.name)
		// Later incarnations have not reported anything.
		for i := range 3 {
			table.merge(recordOf(0, i, func(r *record) { r.Incarnation = 2 }), epoch)
		}
		assert.Equal(t, table.isReachable(remote, delegates, c.previous), c.previous, c.name)
		assert.Equal(t, table.reachabilityHash, uint64(0))
	}
}

func TestBroadcastsAreBounded(t *testing.T) {
	var b broadcasts
	b.addRecord(recordOf(0, 1, setUnreachable))
	b.addRecord(recordOf(0, 1, func(r *record) { r.Version = 1 }))
	for i := range 20 {
		b.addReachability(reachability{Node: nodeID(dcID(0), i), DataCentre: dcID(1)})
	}
	assert.Equal(t, b.unsent, 21)
	sent, messages := 0, 0
	for len(b.pending) > 0 {
		records, contacts := b.take(piggybackLimit, 12)
		assert.Assert(t, len(records)+len(contacts) <= piggybackLimit)
		sent += len(records) + len(contacts)
		messages++
	}
	assert.Equal(t, b.unsent, 0)
	assert.Equal(t, sent, 21*retransmitFactor*4)
	assert.Assert(t, messages <= sent/piggybackLimit+1)
}

func TestAbsenceCountsOnlyFromSettledNodes(t *testing.T) {
	withTestCluster(t, 2, 3, nil, func(t *testing.T, x *testCluster) {
		s := x.nodes[x.order[0]].Service
		time.Sleep(minAbsentAge)
		remote := x.nodesIn(1)
		reply := pullReply{Tables: []dataCentreTable{
			{DataCentre: dcID(0), Records: []record{recordOf(0, 0, nil)}},
			{DataCentre: dcID(1), Records: []record{recordOf(1, 0, nil), recordOf(1, 1, nil)}},
		}}
		s.applyPull(reply, false)
		synctest.Wait()
		assert.Assert(t, x.all(x.order[:1], x.order, StatusAlive))
		reply.Settled = true
		s.applyPull(reply, false)
		assert.Assert(t, x.all(x.order[:1], remote[2:], StatusGone))
		assert.Assert(t, x.all(x.order[:1], excluding(x.order, remote[2]), StatusAlive), "nodes of the local data centre answer")
	})
}
