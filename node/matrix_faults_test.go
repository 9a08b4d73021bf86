package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// fault is a failure that lasts for faultDuration.
type fault struct {
	name       string
	begin, end func(x *trial)
	// inapplicable states why the fault can't occur at any step; empty if it can.
	inapplicable string
	// nonDisruptive faults don't interrupt requests in progress.
	nonDisruptive bool
}

// role is a node's role in the trial.
type role struct {
	name string
	of   func(x *trial) domain.NodeID
}

func roles() []role {
	return []role{
		{"entry node", func(x *trial) domain.NodeID { return x.entry }},
		{"key's home", func(x *trial) domain.NodeID { return x.home }},
		{"pool's owner", func(x *trial) domain.NodeID { return x.owner }},
	}
}

// faults returns the rows of the matrix.
func faults() []*fault {
	var all []*fault
	for _, r := range roles() {
		all = append(all, crashFault(r), pauseFault(r))
	}
	all = append(all, linkFaults()...)
	all = append(all, endpointFaults()...)
	all = append(all, storeFaults()...)
	all = append(all, otherFaults()...)
	for _, f := range all {
		f.nonDisruptive = slices.Contains(nonDisruptiveFaults, f.name)
	}
	return all
}

// nonDisruptiveFaults names the faults that don't interrupt requests in progress.
var nonDisruptiveFaults = []string{
	"link between entry and home is cut", "link between entry and owner is cut", "data centre is cut off from the platform",
	"endpoint straggles", "endpoint leaves", "endpoint answers late", "endpoint answers out of order", "endpoint answers twice",
	"store is down", "store is slow", "store's answer is lost after its effect", "store gives an old value",
	"operators race each other", "peer sends rubbish",
}

// detectionDelay is how long after a failure the view of the nodes reflects it.
const detectionDelay = 3 * time.Second

func crashFault(r role) *fault {
	return &fault{
		name: r.name + " dies",
		begin: func(x *trial) {
			node := r.of(x)
			member := x.latest(node).self
			x.crashAsync(node)
			time.AfterFunc(detectionDelay, func() { x.setStatus(member, membership.StatusGone) })
		},
		end: func(x *trial) { x.restart(r.of(x)) },
	}
}

func pauseFault(r role) *fault {
	return &fault{
		name: r.name + " is paused and wakes late",
		begin: func(x *trial) {
			node := r.of(x)
			member := x.latest(node).self
			x.pause(node)
			time.AfterFunc(detectionDelay, func() { x.setStatus(member, membership.StatusUnreachable) })
		},
		end: func(x *trial) {
			x.resume(r.of(x))
			x.setStatus(x.latest(r.of(x)).self, membership.StatusAlive)
		},
	}
}

func linkFaults() []*fault {
	cut := func(name string, begin func(x *trial)) *fault {
		return &fault{name: name, begin: func(x *trial) {
			x.markPartitioned()
			begin(x)
		}, end: func(x *trial) { x.network.HealAll() }}
	}
	return []*fault{
		cut("link between entry and home is cut", func(x *trial) { x.network.Cut(x.entry, x.home) }),
		cut("link between entry and owner is cut", func(x *trial) { x.network.Cut(x.entry, x.owner) }),
		cut("entry reaches nobody, one way", func(x *trial) { x.oneWay(func(n domain.NodeID) { x.network.CutOneWay(x.entry, n) }) }),
		cut("nobody reaches entry, one way", func(x *trial) { x.oneWay(func(n domain.NodeID) { x.network.CutOneWay(n, x.entry) }) }),
		cut("data centres are cut off from one another", (*trial).partition),
		{name: "data centre is cut off from the platform", begin: func(x *trial) { x.setStoreDown(true) }, end: func(x *trial) { x.setStoreDown(false) }},
	}
}

// markPartitioned records that some nodes can't reach one another.
func (x *trial) markPartitioned() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.partitioned = true
}

func (x *trial) oneWay(cut func(domain.NodeID)) {
	for _, m := range x.members {
		if m.Node != x.entry {
			cut(m.Node)
		}
	}
}

func (x *trial) partition() {
	for _, a := range x.members {
		for _, b := range x.members {
			if a.DataCentre != b.DataCentre {
				x.network.Cut(a.Node, b.Node)
			}
		}
	}
}

// setStoreDown sets whether the store is unreachable from Palermo's nodes.
func (x *trial) setStoreDown(down bool) {
	for _, n := range x.runningNodes() {
		if n.self.DataCentre == "palermo" {
			n.client.SetDown(down)
		}
	}
}

// endpointFaults returns the faults of Palermo's engine, which runs the request.
func endpointFaults() []*fault {
	const id domain.EndpointID = "palermo-engine-1"
	set := func(name string, f engine.Faults) *fault {
		return &fault{
			name:  name,
			begin: func(x *trial) { x.engines[id].SetFaults(f) },
			end:   func(x *trial) { x.engines[id].SetFaults(engine.Faults{}) },
		}
	}
	leaves := set("endpoint leaves", engine.Faults{Leaving: true})
	announce := leaves.begin
	leaves.begin = func(x *trial) {
		x.mu.Lock()
		x.leavingSince[id] = time.Now()
		x.mu.Unlock()
		announce(x)
	}
	return []*fault{
		{name: "endpoint crashes", begin: func(x *trial) { x.engines[id].Crash() }},
		set("endpoint straggles", engine.Faults{Straggle: 30}),
		set("endpoint stands still", engine.Faults{Pause: true}),
		leaves,
		set("endpoint answers late", engine.Faults{AnswerDelayMillis: 3000}),
		set("endpoint answers out of order", engine.Faults{SwapEvery: 3}),
		set("endpoint answers twice", engine.Faults{DuplicateEvery: 3}),
		set("endpoint runs a request and breaks off", engine.Faults{DropStartReplies: 2, DisconnectAfter: 7}),
	}
}

func storeFaults() []*fault {
	return []*fault{
		{name: "store is down", begin: func(x *trial) { x.store.SetDown(true) }, end: func(x *trial) { x.store.SetDown(false) }},
		{name: "store is slow", begin: func(x *trial) { x.store.SetDelay(3 * time.Second) }, end: func(x *trial) { x.store.SetDelay(0) }},
		{name: "store's answer is lost after its effect", begin: func(x *trial) { x.store.SetFunc(loseAnswers) }, end: func(x *trial) { x.store.SetFunc(nil) }},
		{name: "store gives an old value", begin: func(x *trial) { x.store.SetStaleness(5 * time.Second) }, end: func(x *trial) { x.store.SetStaleness(0) }},
		{name: "lease lapses unknown to its holder", inapplicable: "the grid's nodes hold no lease, as they give no orders unless the settings say so; the tests of packages store/lease and coordinator bring it about"},
	}
}

func loseAnswers(c memstore.Call) memstore.Fault {
	return memstore.Fault{DropResponse: c.Operation.IsWrite()}
}

func otherFaults() []*fault {
	return []*fault{
		{name: "burst", begin: func(x *trial) { x.faultTasks.Go(x.burst) }},
		{name: "operators race each other", begin: func(x *trial) { x.faultTasks.Go(x.concurrentEdits) }},
		{name: "poisonous request sent again", begin: func(x *trial) { x.faultTasks.Go(x.sendPoisonous) }},
		{name: "clock jumps back: home restarts as an earlier life",
			begin: func(x *trial) { x.crashAsync(x.home) },
			end:   func(x *trial) { x.restartAs(x.home, -1) }},
		{name: "clock jumps while a process runs", inapplicable: "no decision reads the wall clock (TestNoDecisionReadsTheWallClock); a leap of the monotonic clock is a pause"},
		{name: "peer sends rubbish", begin: func(x *trial) { x.faultTasks.Go(x.sendMalformed) }},
		{name: "host list lags: home dies and stays listed",
			begin: func(x *trial) { x.crashAsync(x.home) },
			end:   func(x *trial) { x.restart(x.home) }},
		{name: "host list lies: paused entry is called gone, and wakes",
			begin: func(x *trial) {
				x.pause(x.entry)
				x.setStatus(x.latest(x.entry).self, membership.StatusGone)
			},
			end: func(x *trial) {
				x.resume(x.entry)
				x.setStatus(x.latest(x.entry).self, membership.StatusAlive)
			}},
		{name: "host list lies: home is called gone",
			begin: func(x *trial) { x.setStatus(x.latest(x.home).self, membership.StatusGone) },
			end:   func(x *trial) { x.setStatus(x.latest(x.home).self, membership.StatusAlive) }},
	}
}

// combine returns a fault that begins g after f, at a distance of gap.
func combine(f, g *fault, gap time.Duration) *fault {
	return &fault{
		name: f.name + " and " + g.name,
		begin: func(x *trial) {
			f.begin(x)
			time.AfterFunc(gap, func() { g.begin(x) })
		},
		end: func(x *trial) {
			for _, each := range []*fault{f, g} {
				if each.end != nil {
					each.end(x)
				}
			}
		},
	}
}

// burst sends requests of every tier, more than all engines can take.
func (x *trial) burst() {
	var group sync.WaitGroup
	for _, org := range []domain.OrganisationID{"drafts", "fitters-east", "showrooms"} {
		x.callers("burst", org, 12, &group)
	}
	group.Wait()
}

// concurrentEdits changes the same row and different rows from three nodes at once.
func (x *trial) concurrentEdits() {
	var group sync.WaitGroup
	for i, node := range []domain.NodeID{x.entry, x.far, x.owner} {
		group.Go(func() { x.changeWeight(node, []domain.OrganisationID{"drafts", "training", "drafts"}[i], 50+i) })
	}
	group.Wait()
}

// changeWeight edits the weight of an organisation, based on the node's
// configuration.
func (x *trial) changeWeight(node domain.NodeID, org domain.OrganisationID, weight int) (document.Edit, uint64, error) {
	edit := document.Edit{ID: document.NewEditID(), Author: "test"}
	n := x.latest(node)
	table, _, err := n.config.Table(context.Background(), 0)
	if err != nil {
		return edit, 0, err
	}
	next := table.Clone()
	for i := range next.Organisations {
		if next.Organisations[i].ID == org {
			next.Organisations[i].Weight = weight
		}
	}
	version, err := n.config.Edit(context.Background(), edit, config.Diff(table, next))
	return edit, version.Generation, err
}

// sendPoisonous sends a request that crashes engines, several times under new keys.
func (x *trial) sendPoisonous() {
	for i := range 4 {
		k := &call{org: "training", key: fmt.Sprintf("poison-%d", i), prompt: poisonPrompt}
		x.mu.Lock()
		x.calls = append(x.calls, k)
		x.mu.Unlock()
		x.attempt(k, x.node(1+i))
	}
}

// peerMethods are the methods for which sendMalformed sends malformed payloads.
var peerMethods = []peer.Method{
	"ledger.claim", "ledger.commit", "ledger.mirror", "ledger.finish", "ledger.release", "ledger.lookup", "ledger.collect",
	"ledger.table", "ledger.settled", "ledger.holds", "ledger.confirm", "capacity.ask", "capacity.notice", "capacity.release",
	"capacity.renew", "capacity.list", "capacity.register", "capacity.collect", "capacity.quote", "capacity.leaving",
	"document.announce", "document.offer", "document.digest", "document.pull", "document.parts", "document.status",
	"limits.report", "quarantine.report", "quarantine.pull", "answer.read", "answer.cancel",
}

// sendMalformed sends malformed payloads for each method to all nodes, from a node
// that is not a member.
func (x *trial) sendMalformed() {
	rogue := x.network.Node(domain.Member{Node: "rogue", Incarnation: 1, DataCentre: "palermo"})
	payloads := [][]byte{nil, {0xff}, {0xa0}, {0xa1, 0x01, 0x02}, {0xbf, 0x00}, []byte("rubbish"), {0xf6}, {0x80}}
	ctx, cancel := context.WithTimeout(context.Background(), faultDuration)
	defer cancel()
	for _, m := range x.members {
		for _, method := range peerMethods {
			for _, payload := range payloads {
				_, _ = rogue.Call(ctx, m, method, payload)
			}
		}
	}
}
