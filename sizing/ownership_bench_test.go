package sizing

import (
	"fmt"
	"testing"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

const (
	// ownershipNodes are in the data centre.
	ownershipNodes = 48
	// ownershipDraws is over how many sets of pool names the busiest owner is averaged.
	ownershipDraws = 20
)

// BenchmarkSlopeOwnedPools measures how many pools the busiest of 48 nodes owns,
// and how many nodes own any, by the pools of the data centre.
func BenchmarkSlopeOwnedPools(b *testing.B) {
	for _, pools := range []int{11, 33, 66, 99} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			var most, owners float64
			for b.Loop() {
				most, owners = 0, 0
				for draw := range ownershipDraws {
					m, o := ownedPools(pools, draw)
					most += float64(m) / ownershipDraws
					owners += float64(o) / ownershipDraws
				}
			}
			b.ReportMetric(most, "pools/busiest")
			b.ReportMetric(owners, "owners")
		})
	}
}

// ownedPools returns the pools of the busiest node and the number of owners. Each
// pool has one endpoint.
func ownedPools(pools, draw int) (most, owners int) {
	snapshot := &config.Snapshot{
		Revision:  1,
		Endpoints: make(map[domain.EndpointID]*config.EndpointRow),
		Pools:     make(map[domain.PoolName][]*config.EndpointRow),
	}
	for i := range pools {
		name := fmt.Sprintf("model-%d-%d", draw, i)
		row := &config.EndpointRow{ID: domain.EndpointID(name), Kind: config.KindEngine, DataCentre: "taf", Serves: name, Limit: 1, Weight: 100}
		snapshot.Endpoints[row.ID] = row
		snapshot.Pools[domain.ModelPool(name)] = []*config.EndpointRow{row}
	}
	var peers []membership.Peer
	for i := range ownershipNodes {
		peers = append(peers, membership.Peer{Member: limitsMember(i)})
	}
	network := peertest.NewNetwork()
	defer network.Close()
	for i := range ownershipNodes {
		s := capacity.New(capacity.Options{
			Transport:  network.Node(limitsMember(i)),
			Membership: membership.NewStaticView(&membership.Snapshot{Self: limitsMember(i), Peers: peers}),
			Config:     config.NewStaticView(snapshot),
		})
		owned := len(s.Owned())
		most = max(most, owned)
		if owned > 0 {
			owners++
		}
	}
	return most, owners
}
