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

// fault is something that goes wrong for faultSpan.
type fault struct {
	name       string
	begin, end func(x *trial)
	// never says why the fault can't occur at any step, empty if it can.
	never string
	// gentle faults cut no request that is in progress.
	gentle bool
}

// part is a role in the trial.
type part struct {
	name string
	of   func(x *trial) domain.NodeID
}

func parts() []part {
	return []part{
		{"entry node", func(x *trial) domain.NodeID { return x.entry }},
		{"key's home", func(x *trial) domain.NodeID { return x.home }},
		{"pool's owner", func(x *trial) domain.NodeID { return x.owner }},
	}
}

// faults are the rows of the grid.
func faults() []*fault {
	var all []*fault
	for _, p := range parts() {
		all = append(all, dies(p), paused(p))
	}
	all = append(all, linkFaults()...)
	all = append(all, endpointFaults()...)
	all = append(all, storeFaults()...)
	all = append(all, otherFaults()...)
	for _, f := range all {
		f.gentle = slices.Contains(gentle, f.name)
	}
	return all
}

// gentle names the faults that cut no request in progress.
var gentle = []string{
	"link between entry and home is cut", "link between entry and owner is cut", "data centre is cut off from the platform",
	"endpoint straggles", "endpoint leaves", "endpoint answers late", "endpoint answers out of order", "endpoint answers twice",
	"store is down", "store is slow", "store's answer is lost after its effect", "store gives an old value",
	"operators race each other", "peer sends rubbish",
}

// detection is how long peers take to believe that a node is gone.
const detection = 3 * time.Second

func dies(p part) *fault {
	return &fault{
		name: p.name + " dies",
		begin: func(x *trial) {
			node := p.of(x)
			member := x.life(node).self
			x.die(node)
			time.AfterFunc(detection, func() { x.setStatus(member, membership.StatusGone) })
		},
		end: func(x *trial) { x.reborn(p.of(x)) },
	}
}

func paused(p part) *fault {
	return &fault{
		name: p.name + " is paused and wakes late",
		begin: func(x *trial) {
			node := p.of(x)
			member := x.life(node).self
			x.pause(node)
			time.AfterFunc(detection, func() { x.setStatus(member, membership.StatusUnreachable) })
		},
		end: func(x *trial) {
			x.resume(p.of(x))
			x.setStatus(x.life(p.of(x)).self, membership.StatusAlive)
		},
	}
}

func linkFaults() []*fault {
	cut := func(name string, begin func(x *trial)) *fault {
		return &fault{name: name, begin: func(x *trial) {
			x.sever()
			begin(x)
		}, end: func(x *trial) { x.network.HealAll() }}
	}
	return []*fault{
		cut("link between entry and home is cut", func(x *trial) { x.network.Cut(x.entry, x.home) }),
		cut("link between entry and owner is cut", func(x *trial) { x.network.Cut(x.entry, x.owner) }),
		cut("entry reaches nobody, one way", func(x *trial) { x.oneWay(func(n domain.NodeID) { x.network.CutOneWay(x.entry, n) }) }),
		cut("nobody reaches entry, one way", func(x *trial) { x.oneWay(func(n domain.NodeID) { x.network.CutOneWay(n, x.entry) }) }),
		cut("data centres are cut off from one another", (*trial).partition),
		{name: "data centre is cut off from the platform", begin: func(x *trial) { x.platform(true) }, end: func(x *trial) { x.platform(false) }},
	}
}

// sever notes that nodes can't reach one another.
func (x *trial) sever() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.severed = true
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

// platform cuts Palermo's nodes off from the store, or ends that.
func (x *trial) platform(down bool) {
	for _, n := range x.living() {
		if n.self.DataCentre == "palermo" {
			n.client.SetDown(down)
		}
	}
}

// endpointFaults are those of Palermo's engine, which runs the request.
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
		x.left[id] = time.Now()
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
		{name: "store gives an old value", begin: func(x *trial) { x.store.SetOldBy(5 * time.Second) }, end: func(x *trial) { x.store.SetOldBy(0) }},
		{name: "lease lapses unknown to its holder", never: "the grid's nodes hold no lease, as they give no orders unless the settings say so; the tests of packages store/lease and coordinator bring it about"},
	}
}

func loseAnswers(c memstore.Call) memstore.Fault {
	return memstore.Fault{LoseAnswer: c.Operation.IsWrite()}
}

func otherFaults() []*fault {
	return []*fault{
		{name: "burst", begin: func(x *trial) { x.async.Go(x.burst) }},
		{name: "operators race each other", begin: func(x *trial) { x.async.Go(x.race) }},
		{name: "poisonous request sent again", begin: func(x *trial) { x.async.Go(x.poisoned) }},
		{name: "clock jumps back: home restarts as an earlier life",
			begin: func(x *trial) { x.die(x.home) },
			end:   func(x *trial) { x.rebornAs(x.home, -1) }},
		{name: "clock jumps while a process runs", never: "no decision reads the wall clock (TestNoDecisionReadsTheWallClock); a leap of the monotonic clock is a pause"},
		{name: "peer sends rubbish", begin: func(x *trial) { x.async.Go(x.rubbish) }},
		{name: "host list lags: home dies and stays listed",
			begin: func(x *trial) { x.die(x.home) },
			end:   func(x *trial) { x.reborn(x.home) }},
		{name: "host list lies: paused entry is called gone, and wakes",
			begin: func(x *trial) {
				x.pause(x.entry)
				x.setStatus(x.life(x.entry).self, membership.StatusGone)
			},
			end: func(x *trial) {
				x.resume(x.entry)
				x.setStatus(x.life(x.entry).self, membership.StatusAlive)
			}},
		{name: "host list lies: home is called gone",
			begin: func(x *trial) { x.setStatus(x.life(x.home).self, membership.StatusGone) },
			end:   func(x *trial) { x.setStatus(x.life(x.home).self, membership.StatusAlive) }},
	}
}

// both has one fault happen and another one a little later.
func both(f, g *fault, gap time.Duration) *fault {
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

// burst sends more than all engines take, of every tier.
func (x *trial) burst() {
	var group sync.WaitGroup
	for _, org := range []domain.OrganisationID{"drafts", "fitters-east", "showrooms"} {
		x.callers("burst", org, 12, &group)
	}
	group.Wait()
}

// race has two operators change the same row and different rows at once.
func (x *trial) race() {
	var group sync.WaitGroup
	for i, node := range []domain.NodeID{x.entry, x.far, x.owner} {
		group.Go(func() { x.changeWeight(node, []domain.OrganisationID{"drafts", "training", "drafts"}[i], 50+i) })
	}
	group.Wait()
}

// changeWeight edits the weight of an organisation as seen by the node.
func (x *trial) changeWeight(node domain.NodeID, org domain.OrganisationID, weight int) (document.Edit, uint64, error) {
	edit := document.Edit{ID: document.NewEditID(), Author: "test"}
	n := x.life(node)
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

// poisoned sends a request that crashes engines, and sends it again under new keys.
func (x *trial) poisoned() {
	for i := range 4 {
		k := &call{org: "training", key: fmt.Sprintf("poison-%d", i), prompt: poison}
		x.mu.Lock()
		x.calls = append(x.calls, k)
		x.mu.Unlock()
		x.attempt(k, x.node(1+i))
	}
}

// methods are those that a peer may send rubbish for.
var methods = []peer.Method{
	"ledger.claim", "ledger.commit", "ledger.mirror", "ledger.finish", "ledger.release", "ledger.lookup", "ledger.collect",
	"ledger.table", "ledger.settled", "ledger.holds", "ledger.confirm", "capacity.ask", "capacity.notice", "capacity.release",
	"capacity.renew", "capacity.list", "capacity.register", "capacity.collect", "capacity.quote", "capacity.leaving",
	"document.announce", "document.offer", "document.digest", "document.pull", "document.parts", "document.status",
	"limits.report", "quarantine.report", "quarantine.pull", "answer.read", "answer.cancel",
}

// rubbish has a node that is no member send broken messages of each kind to all.
func (x *trial) rubbish() {
	rogue := x.network.Node(domain.Member{Node: "rogue", Incarnation: 1, DataCentre: "palermo"})
	payloads := [][]byte{nil, {0xff}, {0xa0}, {0xa1, 0x01, 0x02}, {0xbf, 0x00}, []byte("rubbish"), {0xf6}, {0x80}}
	ctx, cancel := context.WithTimeout(context.Background(), faultSpan)
	defer cancel()
	for _, m := range x.members {
		for _, method := range methods {
			for _, payload := range payloads {
				_, _ = rogue.Call(ctx, m, method, payload)
			}
		}
	}
}
