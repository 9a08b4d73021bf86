package node

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/config/agreed"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// configHeadEvent matches a store event of the entry node on the head of the
// configuration document.
func configHeadEvent(name string) func(*trial, event) bool {
	return func(x *trial, e event) bool {
		return e.node == x.entry && e.name == name && strings.HasSuffix(e.key, agreed.DocumentName+"/head")
	}
}

// newVersionReaches matches the moment at which a node other than the entry node
// receives the new version, from a peer or from the store. Both happen at the same
// instant, so their order is not determined.
func newVersionReaches(x *trial, e event) bool {
	fromPeer := e.name == "document.pull"+suffixAfter
	fromStore := e.name == eventGet+suffixAfter && strings.Contains(e.key, agreed.DocumentName+"/part/")
	return e.node != x.entry && (fromPeer || fromStore)
}

// controlSteps returns the steps of a configuration change and of a node joining and
// leaving.
func controlSteps() []*step {
	return []*step{
		{name: "edit", matches: configHeadEvent(eventGet), run: (*trial).runEdit},
		{name: "accept", matches: configHeadEvent(eventSwap), run: (*trial).runEdit},
		{name: "hand on", matches: atEntry("document.announce"), run: (*trial).runEdit},
		{name: "apply", run: (*trial).runEdit, matches: newVersionReaches},
		{name: "join", run: (*trial).runJoin, matches: func(x *trial, e event) bool {
			return e.node == x.home && e.name == eventSwap && strings.Contains(e.key, "ledger")
		}},
		{name: "drain", run: (*trial).runDrain},
		{name: "hand over", run: (*trial).runDrain, matches: func(x *trial, e event) bool {
			return e.node == x.home && e.name == eventSwap && strings.Contains(e.key, "ledger")
		}},
	}
}

// convergenceTimeout is how long a change may take to be in force on all nodes after
// the fault has ended.
const convergenceTimeout = 20 * time.Second

// runEdit changes a weight on the entry node while callers are served. An accepted
// edit must come into force on all nodes, a rejected one on none.
func (x *trial) runEdit() {
	var group sync.WaitGroup
	x.callers("beside", "fitters-west", 2, &group)
	x.callers("beside", "drafts", 2, &group)
	x.observeStep()
	const weight = 77
	edit, generation, err := x.changeWeight(x.entry, "fitters-east", weight)
	x.awaitFault()
	group.Wait()
	accepted := err == nil
	if errors.Is(err, document.ErrUnknownOutcome) {
		accepted = x.editAccepted(edit)
	}
	if accepted {
		x.awaitWeight(weight, generation)
		return
	}
	time.Sleep(convergenceTimeout)
	for _, n := range x.runningNodes() {
		if weightOf(n, "fitters-east") == weight {
			x.fail("rejected edit (%v) is in force on %s", err, n.self.Node)
		}
	}
}

// editAccepted reports whether an edit with an unknown outcome was accepted.
func (x *trial) editAccepted(edit document.Edit) bool {
	n := x.node(0)
	_, err := n.config.ResolveEdit(context.Background(), edit.ID, 1)
	if err != nil && !errors.Is(err, document.ErrNotAccepted) {
		x.fail("outcome of the edit could not be resolved: %v", err)
	}
	return err == nil
}

// awaitWeight waits until the accepted weight is in force on all nodes.
func (x *trial) awaitWeight(weight int, generation uint64) {
	deadline := time.Now().Add(convergenceTimeout)
	for _, n := range x.runningNodes() {
		for weightOf(n, "fitters-east") != weight {
			if time.Now().After(deadline) {
				x.fail("generation %d is not in force on %s", generation, n.self.Node)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func weightOf(n *runningNode, org domain.OrganisationID) int {
	table, _, err := n.config.Table(context.Background(), 0)
	if err != nil {
		return 0
	}
	i := slices.IndexFunc(table.Organisations, func(r config.OrganisationRow) bool { return r.ID == org })
	if i < 0 {
		return 0
	}
	return table.Organisations[i].Weight
}

// runJoin crashes a node and lets its next incarnation join while callers are served.
func (x *trial) runJoin() {
	member := x.latest(x.home).self
	x.crashAsync(x.home)
	time.Sleep(detectionDelay)
	x.setStatus(member, membership.StatusGone)
	time.Sleep(detectionDelay)
	var group sync.WaitGroup
	x.observeStep()
	x.restart(x.home)
	x.callers("beside", "fitters-west", 2, &group)
	x.callers("beside", "drafts", 2, &group)
	x.run(x.newCall(), 0)
	x.awaitFault()
	group.Wait()
}

// runDrain drains a node that has requests in progress. The node is stopped when
// Drain returns.
func (x *trial) runDrain() {
	var group sync.WaitGroup
	draining := x.latest(x.home)
	x.longFirstTimeout = true
	x.callers("beside", "fitters-west", 3, &group)
	group.Go(func() { x.run(x.newCall(), 1) })
	time.Sleep(300 * time.Millisecond)
	x.mu.Lock()
	inProgress := slices.Clone(x.calls)
	x.mu.Unlock()
	x.observeStep()
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() { drained <- draining.Drain(ctx) }()
	if x.step.matches == nil {
		time.Sleep(10 * time.Millisecond)
		x.beginFault()
	}
	<-drained
	x.crashAsync(x.home)
	x.awaitFault()
	group.Wait()
	x.checkDrain(draining, inProgress)
}

// checkDrain fails if a request in progress was not answered although the fault does
// not interrupt requests.
func (x *trial) checkDrain(draining *runningNode, inProgress []*call) {
	if !x.fault.nonDisruptive {
		return
	}
	for _, k := range inProgress {
		if k.attemptedAt[0] == draining && k.firstOutcome != "answered" {
			x.fail("%s was in progress on the draining node and ended as %q", k.key, k.firstOutcome)
		}
	}
}
