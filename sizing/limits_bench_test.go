package sizing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/limits"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

const (
	// limitsNodes is the number of nodes in the fleet. It is large enough that nearly
	// every organisation has an owner to itself.
	limitsNodes = 1000
	// limitsSpeedup is the factor by which the report intervals are shortened.
	limitsSpeedup = 50
	// limitsIntervals is the number of slow report intervals in the measurement window.
	limitsIntervals = 5
)

func benchMember(i int) domain.Member {
	return domain.Member{Node: domain.NodeID(fmt.Sprintf("node-%03d", i)), Incarnation: 1, DataCentre: "taf"}
}

// BenchmarkSlopeLimitsFleet measures the messages and payload bytes in both directions
// that limit reports cause for the organisations in use at one node of 1,000, with one
// request in flight each. An organisation's owner may be any node. The organisations'
// limits are too low for a request to be reserved for each node, so every request counts
// against a share that the owner grants.
func BenchmarkSlopeLimitsFleet(b *testing.B) {
	for _, organisations := range []int{20, 80, 160, 320} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			var messages, bytes float64
			for b.Loop() {
				messages, bytes = limitsTraffic(b, organisations)
			}
			b.ReportMetric(messages, "messages/s")
			b.ReportMetric(bytes, "B/s")
		})
	}
}

// limitsTraffic returns messages and payload bytes per second at the default report
// intervals.
func limitsTraffic(b *testing.B, organisations int) (messages, bytes float64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := peertest.NewNetwork()
	defer network.Close()
	view := &membership.Snapshot{Self: benchMember(0)}
	for i := range limitsNodes {
		view.Peers = append(view.Peers, membership.Peer{Member: benchMember(i)})
	}
	table := limitsConfig(b, organisations)
	services := make([]*limits.Service, limitsNodes)
	for i := range services {
		services[i] = limits.New(limits.Options{
			Transport: network.Node(benchMember(i)), Membership: membership.NewStaticView(view), Config: table,
			ReportInterval:     limits.DefaultReportInterval / limitsSpeedup,
			SlowReportInterval: limits.DefaultSlowReportInterval / limitsSpeedup,
			IdleTimeout:        limits.DefaultIdleTimeout / limitsSpeedup,
			SettleTime:         time.Nanosecond,
		})
		defer services[i].Close()
	}
	go func() { _ = services[0].Run(ctx) }()
	for _, organisation := range table.Current().Organisations {
		if permit, err := services[0].Admit(organisation, 1, 1); err == nil {
			defer permit.Release(1, 1)
		}
	}
	time.Sleep(2 * limits.DefaultSlowReportInterval / limitsSpeedup)
	network.ResetCounts()
	start := time.Now()
	time.Sleep(limitsIntervals * limits.DefaultSlowReportInterval / limitsSpeedup)
	sent := network.Total("")
	seconds := time.Since(start).Seconds() * limitsSpeedup
	return float64(sent.Messages) / seconds, float64(sent.Bytes) / seconds
}

// limitsConfig returns a configuration in which each organisation has a limit of four
// requests per node.
func limitsConfig(b *testing.B, organisations int) *config.StaticView {
	b.Helper()
	snapshot := &config.Snapshot{Revision: 1, Organisations: make(map[domain.OrganisationID]*config.Organisation)}
	for i := range organisations {
		row := config.OrganisationRow{ID: domain.OrganisationID(fmt.Sprintf("organisation-%04d", i)), InFlight: 4 * limitsNodes}
		snapshot.Organisations[row.ID] = &config.Organisation{OrganisationRow: row}
	}
	view := config.NewStaticView(snapshot)
	assert.Equal(b, len(view.Current().Organisations), organisations)
	return view
}
