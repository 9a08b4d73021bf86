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
	// limitsNodes are in the fleet, so that nearly every organisation has an owner of
	// its own.
	limitsNodes = 1000
	// limitsCompress is how many times faster than usual the exchange runs.
	limitsCompress = 50
	// limitsRounds is for how many quiet intervals it is counted.
	limitsRounds = 5
)

func limitsMember(i int) domain.Member {
	return domain.Member{Node: domain.NodeID(fmt.Sprintf("node-%03d", i)), Incarnation: 1, DataCentre: "taf"}
}

// BenchmarkSlopeLimitsFleet measures what the organisations in use at one node of
// 1,000, with one request in flight each, cause in messages and payload, both ways:
// an organisation's owner may be any node. The limit leaves no node a request of
// its own.
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

// limitsTraffic returns messages and payload bytes a second of uncompressed time.
func limitsTraffic(b *testing.B, organisations int) (messages, bytes float64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := peertest.NewNetwork()
	defer network.Close()
	view := &membership.Snapshot{Self: limitsMember(0)}
	for i := range limitsNodes {
		view.Peers = append(view.Peers, membership.Peer{Member: limitsMember(i)})
	}
	table := limitsConfig(b, organisations)
	services := make([]*limits.Service, limitsNodes)
	for i := range services {
		services[i] = limits.New(limits.Options{
			Transport: network.Node(limitsMember(i)), Membership: membership.NewStaticView(view), Config: table,
			ReportInterval:     limits.DefaultReportInterval / limitsCompress,
			SlowReportInterval: limits.DefaultSlowReportInterval / limitsCompress,
			IdleTimeout:        limits.DefaultIdleTimeout / limitsCompress,
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
	time.Sleep(2 * limits.DefaultSlowReportInterval / limitsCompress)
	network.ResetCounts()
	began := time.Now()
	time.Sleep(limitsRounds * limits.DefaultSlowReportInterval / limitsCompress)
	sent := network.Total("")
	seconds := time.Since(began).Seconds() * limitsCompress
	return float64(sent.Messages) / seconds, float64(sent.Bytes) / seconds
}

// limitsConfig gives each organisation a limit of four requests a node.
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
