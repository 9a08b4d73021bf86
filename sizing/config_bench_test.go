package sizing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/config/agreed"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// fleetTable returns a table with the given number of organisations, and engines in
// the proportion of the design size, 2,700 engines to 2,900 organisations.
func fleetTable(organisations int) config.Table {
	t := config.Table{Tiers: []config.TierRow{{Name: "gold", DeadlineMillis: 60_000}}}
	for i := range 33 {
		t.Models = append(t.Models, config.ModelRow{Name: fmt.Sprintf("model-%02d", i), MaxPromptTokens: 32_768, MaxAnswerTokens: 8192})
	}
	for i := range organisations {
		t.Organisations = append(t.Organisations, config.OrganisationRow{
			ID: domain.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Tier: "gold", Weight: 1 + i%9, InFlight: 100,
			TokensPerMinute: 1_000_000, KeyHashes: config.FormatKeyHash(config.HashKey(fmt.Sprint(i))), HomeDataCentre: "dc-00",
		})
	}
	for i := range organisations * 2700 / 2900 {
		t.Endpoints = append(t.Endpoints, config.EndpointRow{
			ID: domain.EndpointID(fmt.Sprintf("runner-%05d", i)), Kind: config.KindEngine, DataCentre: domain.DataCentre(fmt.Sprintf("dc-%02d", i%21)),
			Address: fmt.Sprintf("http://10.%d.%d.%d:8000", i/65536, i/256%256, i%256), Serves: t.Models[i%33].Name,
			Generation: "h1", Weight: 100, Limit: 64, TokenLimit: 500_000, ChecksFencing: i%2 == 0,
		})
	}
	return t
}

// configFleet is the configuration services of one data centre on an in-memory network
// and store.
type configFleet struct {
	network *peertest.Network
	store   *memstore.Store
	nodes   []*agreed.Service
	inForce chan config.Revision
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newConfigFleet(b *testing.B, nodes int) *configFleet {
	b.Helper()
	f := &configFleet{network: peertest.NewNetwork(), store: memstore.New(memstore.Options{}), inForce: make(chan config.Revision, nodes)}
	var peers []membership.Peer
	for i := range nodes {
		peers = append(peers, membership.Peer{Member: benchMember(i)})
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for i := range nodes {
		documents, err := document.New(document.Options{
			Transport: f.network.Node(benchMember(i)), Members: membership.NewStaticView(&membership.Snapshot{Self: benchMember(i), Peers: peers}),
			Store: f.store.NewClient(), AntiEntropyInterval: time.Hour, SupervisionInterval: 10 * time.Millisecond,
		})
		assert.NilError(b, err)
		node, err := agreed.New(documents, agreed.Options{OnApply: func(s *config.Snapshot) { f.inForce <- s.Revision }})
		assert.NilError(b, err)
		f.nodes = append(f.nodes, node)
		f.running.Go(func() { _ = documents.Run(ctx) })
	}
	time.Sleep(2 * time.Second) // until the watchers have started
	return f
}

// edit makes a change through the first node and waits until it is in force on all
// nodes.
func (f *configFleet) edit(b *testing.B, before, after config.Table) {
	b.Helper()
	edit := document.Edit{ID: document.NewEditID(), Author: "bench"}
	version, err := f.nodes[0].Edit(b.Context(), edit, config.Diff(before, after))
	assert.NilError(b, err)
	for pending := len(f.nodes); pending > 0; {
		if <-f.inForce == config.Revision(version.Generation) {
			pending--
		}
	}
	time.Sleep(50 * time.Millisecond) // until the watchers have seen it
}

func (f *configFleet) close() {
	f.stop()
	f.running.Wait()
	f.network.Close()
}

// measureConfigChange reports the traffic of a node for a change of one cell and for
// the initial distribution of the whole table, and the calls to the store.
func measureConfigChange(b *testing.B, nodes, organisations int) {
	f := newConfigFleet(b, nodes)
	defer f.close()
	table := fleetTable(organisations)
	f.edit(b, config.Table{}, table)
	initial := f.network.Total("")
	f.network.ResetCounts()
	before, changes := f.store.Counts(), 0
	for b.Loop() {
		next := table.Clone()
		next.Organisations[changes*7%organisations].Weight = 1000 + changes
		f.edit(b, table, next)
		table = next
		changes++
	}
	sent, after := f.network.Total(""), f.store.Counts()
	b.ReportMetric(float64(initial.Bytes)/float64(nodes), "whole-table-B")
	b.ReportMetric(float64(sent.Bytes)/float64(nodes*changes), "B/change")
	b.ReportMetric(float64(sent.Messages)/float64(nodes*changes), "messages/change")
	b.ReportMetric(float64(after.Reads+after.Watches-before.Reads-before.Watches)/float64(changes), "store-reads/change")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(changes), "store-writes/change")
}

// BenchmarkSlopeConfigChange measures a change of one cell in a data centre of 24
// nodes, for several numbers of organisations in the table.
func BenchmarkSlopeConfigChange(b *testing.B) {
	for _, organisations := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { measureConfigChange(b, 24, organisations) })
	}
}

// BenchmarkSlopeConfigNodes measures a change of one cell for several numbers of nodes
// in the data centre.
func BenchmarkSlopeConfigNodes(b *testing.B) {
	for _, nodes := range []int{7, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { measureConfigChange(b, nodes, 1450) })
	}
}
