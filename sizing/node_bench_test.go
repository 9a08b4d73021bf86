package sizing

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/node"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// nodeMeasurementWindow is how long whole nodes are measured. It covers two
// rounds of the epoch checks between ledger members, which run every 30 s.
const nodeMeasurementWindow = 60 * time.Second

// noEndpoints provides no adapters: no request is dispatched.
type noEndpoints struct{}

func (noEndpoints) Engine(*config.EndpointRow) endpoint.Engine   { return nil }
func (noEndpoints) Service(*config.EndpointRow) endpoint.Service { return nil }

// BenchmarkSlopeNodeAtRest measures idle whole nodes for several numbers of nodes in
// their only data centre: what each sends, its CPU time without that of the links, and
// its memory. The results are compared with the sums of the components.
func BenchmarkSlopeNodeAtRest(b *testing.B) {
	for _, nodes := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			before := heapBytes()
			network := peertest.NewNetwork()
			defer network.Close()
			stop := startNodes(b, network, nodes)
			defer stop()
			held := heapBytes() - before
			for b.Loop() {
				network.ResetCounts()
				cpuBefore := cpuTime()
				time.Sleep(nodeMeasurementWindow)
				used, sent := cpuTime()-cpuBefore, network.Total("")
				seconds := nodeMeasurementWindow.Seconds() * float64(nodes)
				b.ReportMetric(float64(sent.Messages)/seconds, "messages/s")
				b.ReportMetric(float64(sent.Bytes)/seconds, "B/s")
				b.ReportMetric(float64(used.Nanoseconds())/seconds, "cpu-ns/s")
				b.ReportMetric(float64(held)/float64(nodes), "B/node")
			}
		})
	}
}

// startNodes starts the nodes with a small table and waits until they are ready and
// idle.
func startNodes(b *testing.B, network *peertest.Network, count int) (stop func()) {
	b.Helper()
	var hosts staticHostList
	for i := range count {
		m := fleetMember(0, i, 1)
		hosts = append(hosts, hostEntry(m))
	}
	store := memstore.New(memstore.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var nodes []*node.Node
	for i := range count {
		link := network.Node(fleetMember(0, i, 1))
		n, err := node.New(node.Options{
			Transport: link, Store: store.NewClient(), Adapters: noEndpoints{},
			Members: membership.New(membership.Options{Transport: link, HostList: hosts, Seeds: hosts}),
			Log:     zerolog.Nop(), Metrics: metrics.NewSet(), SessionSecrets: [][]byte{[]byte(strings.Repeat("s", 32))},
		})
		assert.NilError(b, err)
		running.Go(func() { _ = n.Run(ctx) })
		nodes = append(nodes, n)
	}
	time.Sleep(5 * time.Second)
	edit := document.Edit{ID: document.NewEditID(), Author: "bench"}
	_, err := nodes[0].Config().Edit(b.Context(), edit, config.Diff(config.Table{}, fleetTable(29)))
	assert.NilError(b, err)
	for _, n := range nodes {
		for start := time.Now(); n.Ready() != nil; time.Sleep(10 * time.Millisecond) {
			assert.Assert(b, time.Since(start) < time.Minute, "%v", n.Ready())
		}
	}
	time.Sleep(30 * time.Second)
	return func() {
		cancel()
		running.Wait()
	}
}
