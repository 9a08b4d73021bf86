package sizing

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/ledger"
)

// countingListener counts the bytes read from and written to its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return readWriteCountingConn{countingConn{conn, l.bytes}}, err
}

// readWriteCountingConn counts bytes read as well as bytes written.
type readWriteCountingConn struct{ countingConn }

func (c readWriteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// reportServer starts an engine's load report and cache event interfaces, with the given
// number of cache events, and returns its URL. It counts the bytes transferred.
func reportServer(b *testing.B, events int, bytes *atomic.Int64) string {
	b.Helper()
	list := make([]endpoint.CacheEvent, events)
	for i := range list {
		list[i] = endpoint.CacheEvent{Sequence: 1_000_000 + uint64(i), Block: 0x9e3779b97f4a7c15 * uint64(i+1), Stored: i%2 == 0}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(endpoint.LoadReport{Running: 12, Waiting: 3, KVTokensUsed: 90_000, KVTokens: 131_072, Age: 500_000_000})
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) })
	server := httptest.NewUnstartedServer(mux)
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	b.Cleanup(server.Close)
	return server.URL
}

// BenchmarkSlopeEngineReport measures the bytes in both directions and the CPU time of
// both ends when an owner reads one engine's load and cache events, for several numbers
// of events.
func BenchmarkSlopeEngineReport(b *testing.B) {
	for _, events := range []int{0, 100, 400, 1600} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			var bytes atomic.Int64
			client := httpengine.New(reportServer(b, events, &bytes), onesend.New(onesend.Options{}))
			read := func() {
				_, err := client.Load(b.Context())
				assert.NilError(b, err)
				got, err := client.CacheEvents(b.Context(), 7)
				assert.NilError(b, err)
				assert.Equal(b, len(got), events)
			}
			read()
			before, cpuBefore := bytes.Load(), cpuTime()
			for b.Loop() {
				read()
			}
			used := cpuTime() - cpuBefore
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B/reading")
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/reading")
		})
	}
}

// BenchmarkSlopeLedgerTable measures the encoded size of a data centre's ledger table
// for several numbers of members.
func BenchmarkSlopeLedgerTable(b *testing.B) {
	for _, members := range []int{7, 24, 48} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			table := &ledger.Table{DataCentre: "dc00"}
			for i := range members {
				next, err := ledger.Join(fleetMember(0, i, domain.Incarnation(1_790_000_000_000+i)))(table)
				assert.NilError(b, err)
				table = next
			}
			var size int
			for b.Loop() {
				encoded, err := ledger.EncodeTable(table)
				assert.NilError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/table")
		})
	}
}

// BenchmarkSlopeHostList measures the size of the platform's host list, in the format
// that this repository's adapter reads, for several numbers of hosts.
func BenchmarkSlopeHostList(b *testing.B) {
	for _, hosts := range []int{37, 370, 3700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var list []hostlist.Host
			for i := range hosts {
				list = append(list, hostEntry(fleetMember(i%21, i, 1)))
			}
			var size int
			for b.Loop() {
				encoded, err := json.Marshal(list)
				assert.NilError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/list")
		})
	}
}
