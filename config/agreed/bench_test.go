package agreed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// designTable returns a table with the given number of organisations and, in the
// proportion of the design size, endpoints.
func designTable(organisations int) config.Table {
	t := config.Table{Tiers: []config.TierRow{{Name: "gold", DeadlineMillis: 60_000}, {Name: "silver", Rank: 1, DeadlineMillis: 60_000}, {Name: "batch", Rank: 2, DeadlineMillis: 60_000}}}
	for i := range 33 {
		t.Models = append(t.Models, config.ModelRow{Name: fmt.Sprintf("model-%02d", i), MaxPromptTokens: 32_768, MaxAnswerTokens: 8192})
	}
	for i := range organisations {
		t.Organisations = append(t.Organisations, config.OrganisationRow{
			ID: domain.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Tier: t.Tiers[i%3].Name, Weight: 1 + i%9, HomeDataCentre: domain.DataCentre(fmt.Sprintf("dc-%02d", i%21)),
			InFlight: 100, TokensPerMinute: 1_000_000, KeyHashes: config.FormatKeyHash(config.HashKey(fmt.Sprint(i))),
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

// benchCluster is the nodes of one data centre running in real time, connected by
// links without delay.
type benchCluster struct {
	network *peertest.Network
	store   *memstore.Store
	nodes   []*Service
	inForce chan config.Revision
	stop    func()
}

func newBenchCluster(b *testing.B, count int, each func(*document.Options)) *benchCluster {
	f := &benchCluster{network: peertest.NewNetwork(), store: memstore.New(memstore.Options{}), inForce: make(chan config.Revision, count)}
	view := &membership.Snapshot{}
	for i := range count {
		m := domain.Member{Node: domain.NodeID(fmt.Sprintf("node-%03d", i)), Incarnation: 1, DataCentre: "taf"}
		view.Peers = append(view.Peers, membership.Peer{Member: m})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for _, p := range view.Peers {
		options := document.Options{Transport: f.network.Node(p.Member), Members: membership.NewStaticView(view), Store: f.store.NewClient(), SupervisionInterval: 10 * time.Millisecond}
		each(&options)
		documents, err := document.New(options)
		assert.NilError(b, err)
		node, err := New(documents, Options{OnApply: func(s *config.Snapshot) { f.inForce <- s.Revision }})
		assert.NilError(b, err)
		group.Go(func() error { return documents.Run(ctx) })
		f.nodes = append(f.nodes, node)
	}
	f.stop = func() {
		cancel()
		_ = group.Wait()
		f.network.Close()
	}
	return f
}

// edit applies a change and waits until it is in force on every node.
func (f *benchCluster) edit(b *testing.B, before, after config.Table) {
	version, err := f.nodes[0].Edit(context.Background(), edit(), config.Diff(before, after))
	assert.NilError(b, err)
	for left := len(f.nodes); left > 0; {
		if <-f.inForce == config.Revision(version.Generation) {
			left--
		}
	}
}

// measureChange reports the cost of changing one cell: payload and messages sent
// between peers per node, and the bytes that each of the two watchers reads from the
// store. It also reports the cost per node of a first edit that distributes the whole
// table; without parts every change would cost as much.
func measureChange(b *testing.B, nodes, organisations int) {
	f := newBenchCluster(b, nodes, func(o *document.Options) { o.AntiEntropyInterval = time.Hour })
	defer f.stop()
	table := designTable(organisations)
	time.Sleep(2 * time.Second) // Lets the watchers start.
	f.edit(b, config.Table{}, table)
	time.Sleep(time.Second)
	whole := f.network.Total("")
	f.network.ResetCounts()
	read, changes := f.store.Counts(), 0
	for b.Loop() {
		next := table.Clone()
		next.Organisations[changes*7%len(next.Organisations)].Weight = 1000 + changes
		f.edit(b, table, next)
		time.Sleep(20 * time.Millisecond) // Lets the watchers receive the change.
		table = next
		changes++
	}
	sent, after := f.network.Total(""), f.store.Counts()
	per := float64(nodes * changes)
	b.ReportMetric(float64(whole.Bytes)/float64(nodes), "whole-table-B")
	b.ReportMetric(float64(sent.Bytes)/per, "B/change")
	b.ReportMetric(float64(sent.Messages)/per, "messages/change")
	b.ReportMetric(float64(after.BytesRead-read.BytesRead)/float64(changes)/2, "watcher-B/change")
	b.ReportMetric(float64(after.Reads+after.Watches-read.Reads-read.Watches)/float64(changes), "store-reads/change")
	b.ReportMetric(float64(after.Writes-read.Writes)/float64(changes), "store-writes/change")
	b.ReportMetric(float64(after.BytesWritten-read.BytesWritten)/float64(changes), "store-B-written/change")
}

// BenchmarkSlopeChangeByTable varies the table size with 48 nodes, those of a data
// centre of the design size.
func BenchmarkSlopeChangeByTable(b *testing.B) {
	for _, organisations := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { measureChange(b, 48, organisations) })
	}
}

// BenchmarkSlopeChangeByNodes varies the number of nodes with the table of the design
// size.
func BenchmarkSlopeChangeByNodes(b *testing.B) {
	for _, nodes := range []int{7, 48, 200} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { measureChange(b, nodes, 2900) })
	}
}

// restSpeedup is the factor by which BenchmarkSlopeRest shortens the anti-entropy
// interval.
const restSpeedup = 10

// BenchmarkSlopeRest measures the anti-entropy traffic of one node while nothing
// changes, as initiator and as responder, in payload bytes and messages per second.
func BenchmarkSlopeRest(b *testing.B) {
	for _, nodes := range []int{7, 48, 200} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newBenchCluster(b, nodes, func(o *document.Options) { o.AntiEntropyInterval = 5 * time.Second / restSpeedup })
			defer f.stop()
			time.Sleep(100 * time.Millisecond)
			f.edit(b, config.Table{}, designTable(29))
			time.Sleep(time.Second)
			for b.Loop() {
				f.network.ResetCounts()
				start := time.Now()
				time.Sleep(5 * time.Second)
				seconds := time.Since(start).Seconds() * restSpeedup * float64(nodes)
				sent := f.network.Total("")
				b.ReportMetric(float64(sent.Bytes)/seconds, "B/s")
				b.ReportMetric(float64(sent.Messages)/seconds, "messages/s")
			}
		})
	}
}
