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

// editKey matches an event about the configuration's head in the store.
func editKey(name string) func(*trial, event) bool {
	return func(x *trial, e event) bool {
		return e.node == x.entry && e.name == name && strings.HasSuffix(e.key, agreed.DocumentName+"/head")
	}
}

// newVersionReaches matches the moment in which a node other than the entry gets
// the new version: from a peer, or from the store. Which of the two is first is not
// decided, since both happen at one instant.
func newVersionReaches(x *trial, e event) bool {
	fromPeer := e.name == "document.pull"+suffixAfter
	fromStore := e.name == eventGet+suffixAfter && strings.Contains(e.key, agreed.DocumentName+"/part/")
	return e.node != x.entry && (fromPeer || fromStore)
}

// controlSteps are the steps of a change of configuration and of a node's life.
func controlSteps() []*step {
	return []*step{
		{name: "edit", at: editKey(eventGet), run: (*trial).runEdit},
		{name: "accept", at: editKey(eventSwap), run: (*trial).runEdit},
		{name: "hand on", at: atEntry("document.announce"), run: (*trial).runEdit},
		{name: "apply", run: (*trial).runEdit, at: newVersionReaches},
		{name: "join", run: (*trial).runJoin, at: func(x *trial, e event) bool {
			return e.node == x.home && e.name == eventSwap && strings.Contains(e.key, "ledger")
		}},
		{name: "drain", run: (*trial).runDrain},
		{name: "hand over", run: (*trial).runDrain, at: func(x *trial, e event) bool {
			return e.node == x.home && e.name == eventSwap && strings.Contains(e.key, "ledger")
		}},
	}
}

// acceptedWithin is how long a change may take to be in force everywhere once
// nothing is wrong any more.
const acceptedWithin = 20 * time.Second

// runEdit changes a weight at the entry node while callers are served.
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
		accepted = x.settled(edit)
	}
	if accepted {
		x.awaitWeight(weight, generation)
		return
	}
	time.Sleep(acceptedWithin)
	for _, n := range x.living() {
		if weightOf(n, "fitters-east") == weight {
			x.fail("an edit that was not accepted (%v) is in force on %s", err, n.self.Node)
		}
	}
}

// settled asks what became of an edit.
func (x *trial) settled(edit document.Edit) bool {
	n := x.node(0)
	_, err := n.config.Settle(context.Background(), edit.ID, 1)
	if err != nil && !errors.Is(err, document.ErrNotAccepted) {
		x.fail("the edit can't be settled: %v", err)
	}
	return err == nil
}

// awaitWeight waits until the accepted weight is in force on every node.
func (x *trial) awaitWeight(weight int, generation uint64) {
	deadline := time.Now().Add(acceptedWithin)
	for _, n := range x.living() {
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

// runJoin has a node die and its next life join while callers are served.
func (x *trial) runJoin() {
	member := x.life(x.home).self
	x.die(x.home)
	time.Sleep(detection)
	x.setStatus(member, membership.StatusGone)
	time.Sleep(detection)
	var group sync.WaitGroup
	x.observeStep()
	x.reborn(x.home)
	x.callers("beside", "fitters-west", 2, &group)
	x.callers("beside", "drafts", 2, &group)
	x.run(x.victim(), 0)
	x.awaitFault()
	group.Wait()
}

// runDrain has a node leave that has requests in progress. Its process ends when
// the drain says that nothing is left.
func (x *trial) runDrain() {
	var group sync.WaitGroup
	draining := x.life(x.home)
	x.patient = true
	x.callers("beside", "fitters-west", 3, &group)
	group.Go(func() { x.run(x.victim(), 1) })
	time.Sleep(300 * time.Millisecond)
	x.mu.Lock()
	inProgress := slices.Clone(x.calls)
	x.mu.Unlock()
	x.observeStep()
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() { drained <- draining.Drain(ctx) }()
	if x.step.at == nil {
		time.Sleep(10 * time.Millisecond)
		x.fire()
	}
	<-drained
	x.die(x.home)
	x.awaitFault()
	group.Wait()
	x.checkDrain(draining, inProgress)
}

// checkDrain fails if a request was cut that only the drain could have cut.
func (x *trial) checkDrain(draining *runningNode, inProgress []*call) {
	if !x.fault.gentle {
		return
	}
	for _, k := range inProgress {
		if k.lives[0] == draining && k.first != "answered" {
			x.fail("%s was in progress at the draining node and got %q", k.key, k.first)
		}
	}
}
