package coordinator

import (
	"fmt"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// BenchmarkSlopePlan measures one call of Plan for a group without changes, by the
// number of engines: ten models in 21 data centres, with three models allowed on
// each engine.
func BenchmarkSlopePlan(b *testing.B) {
	for _, count := range []int{30, 100, 300, 1000, 2700} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			engines := make([]Engine, count)
			demand := make(map[ModelLocation]ModelDemand)
			for i := range engines {
				dc := fmt.Sprintf("dc%02d", i%21)
				model := func(offset int) string { return fmt.Sprintf("m%d", (i/21+offset)%10) }
				engines[i] = testEngine(fmt.Sprintf("e%04d", i), dc, model(0)+"*", model(1), model(2))
				for j := range 3 {
					demand[ModelLocation{model(j), domain.DataCentre(dc)}] = ModelDemand{Running: 100, Tokens: 1 << 20}
				}
			}
			planner := NewPlanner(PlanOptions{})
			now := time.Unix(0, 0)
			for b.Loop() {
				now = now.Add(simPeriod)
				if steps := planner.Plan(now, engines, demand, unlimitedLoads{}); len(steps) > 0 {
					b.Fatal("unexpected orders without a change of demand")
				}
			}
		})
	}
}

// BenchmarkSlopeCandidates measures choosing the candidates of all 33 groups after
// a membership change, by the number of members.
func BenchmarkSlopeCandidates(b *testing.B) {
	for _, count := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			var members membership.Snapshot
			for i := range count {
				m := domain.Member{Node: domain.NodeID(fmt.Sprintf("n%04d", i)), DataCentre: domain.DataCentre(fmt.Sprintf("dc%02d", i%21))}
				members.Peers = append(members.Peers, membership.Peer{Member: m})
			}
			for b.Loop() {
				for g := range 33 {
					candidates(fmt.Sprintf("m%d", g), &members, 3)
				}
			}
		})
	}
}
