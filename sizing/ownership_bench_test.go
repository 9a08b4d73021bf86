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
	// ownershipNodes is the number of nodes in the data centre.
	ownershipNodes = 48
	// ownershipSamples is the number of sets of pool names over which the results are
	// averaged.
	ownershipSamples = 20
)

// BenchmarkSlopeOwnedPools measures how many pools the node with the most pools owns, out
// of 48 nodes, and how many nodes own any, for several numbers of pools in the data
// centre.
func BenchmarkSlopeOwnedPools(b *testing.B) {
	for _, pools := range []int{11, 33, 66, 99} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			var most, owners float64
			for b.Loop() {
				most, owners = 0, 0
				for sample := range ownershipSamples {
					m, o := ownedPools(pools, sample)
					most += float64(m) / ownershipSamples
					owners += float64(o) / ownershipSamples
				}
			}
			b.ReportMetric(most, "pools/busiest")
			b.ReportMetric(owners, "owners")
		})
	}
}

// ownedPools returns the largest number of pools owned by one node and the number of
// owners. Each pool has one endpoint.
func ownedPools(pools, sample int) (most, owners int) {
	snapshot := &config.Snapshot{
		Revision:  1,
		Endpoints: make(map[domain.EndpointID]*config.EndpointRow),
		Pools:     make(map[domain.PoolName][]*config.EndpointRow),
	}
	for i := range pools {
		name := fmt.Sprintf("model-%d-%d", sample, i)
		row := &config.EndpointRow{ID: domain.EndpointID(name), Kind: config.KindEngine, DataCentre: "taf", Serves: name, Limit: 1, Weight: 100}
		snapshot.Endpoints[row.ID] = row
		snapshot.Pools[domain.ModelPool(name)] = []*config.EndpointRow{row}
	}
	var peers []membership.Peer
	for i := range ownershipNodes {
		peers = append(peers, membership.Peer{Member: benchMember(i)})
	}
	network := peertest.NewNetwork()
	defer network.Close()
	for i := range ownershipNodes {
		s := capacity.New(capacity.Options{
			Transport:  network.Node(benchMember(i)),
			Membership: membership.NewStaticView(&membership.Snapshot{Self: benchMember(i), Peers: peers}),
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
