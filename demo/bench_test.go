package demo

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/standin/engine"
)

const (
	benchStreams       = 500
	benchTokens        = 60
	benchTokenInterval = 50 * time.Millisecond
	// benchRamp is the period over which the streams are started.
	benchRamp = time.Second
)

// singleNodeDeployment returns a deployment of one node and one engine with capacity for all streams.
func singleNodeDeployment() *deployment.Deployment {
	d := deployment.Cucine()
	d.Hosts = d.Hosts[:1]
	row := d.Table.Endpoints[0]
	row.Limit, row.TokenLimit = 2*benchStreams, 0
	d.Table.Endpoints = []config.EndpointRow{row}
	d.Table.Services = nil
	for i := range d.Table.Organisations {
		d.Table.Organisations[i].InFlight, d.Table.Organisations[i].TokensPerMinute = 0, 0
	}
	return d
}

// latencies collects the latencies of many streams, in nanoseconds: the time to the first event and between events.
type latencies struct {
	mu         sync.Mutex
	first, gap *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
	return &latencies{first: histogram(), gap: histogram()}
}

// measureStream reads one streamed answer and records the time to its first event and between its events.
func (l *latencies) measureStream(b *testing.B, url string, number int) {
	body := fmt.Sprintf(`{"model":"quote","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"stream %d"}]}`, benchTokens, number)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(b, err)
	request.Header.Set("Authorization", "Bearer "+deployment.DemoKey("showrooms"))
	request.Header.Set("X-Request-Key", fmt.Sprintf("direct-%d-%d", number, time.Now().UnixNano()))
	request.Header.Set("Content-Type", "application/json")
	last := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(b, err)
	defer response.Body.Close()
	assert.Equal(b, response.StatusCode, http.StatusOK)
	into := l.first
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if !strings.HasPrefix(scanner.Text(), "data:") {
			continue
		}
		now := time.Now()
		l.mu.Lock()
		_ = into.RecordValue(int64(now.Sub(last)))
		l.mu.Unlock()
		into, last = l.gap, now
	}
}

// measureStreams starts all streams over benchRamp and waits until they have ended.
func (l *latencies) measureStreams(b *testing.B, url string) {
	var group sync.WaitGroup
	for i := range benchStreams {
		time.Sleep(benchRamp / benchStreams)
		group.Go(func() { l.measureStream(b, url, i) })
	}
	group.Wait()
}

// BenchmarkNodeAddedLatency compares the latencies of 500 concurrent streams through
// a node with those of the same streams read directly from the engine stand-in.
func BenchmarkNodeAddedLatency(b *testing.B) {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = benchStreams
	d, err := Start(context.Background(), Options{
		Deployment: singleNodeDeployment(),
		Log:        zerolog.Nop(),
		Engine: func(*config.EndpointRow) engine.Options {
			return engine.Options{Speed: engine.FixedInterval(benchTokenInterval), BatchLimit: 2 * benchStreams, KVTokens: 4 << 20}
		},
	})
	assert.NilError(b, err)
	defer func() { assert.Check(b, d.Stop()) }()
	newLatencies().measureStreams(b, d.NodeURLs()[0])
	direct, through := newLatencies(), newLatencies()
	for b.Loop() {
		direct.measureStreams(b, d.table.Endpoints[0].Address)
		through.measureStreams(b, d.NodeURLs()[0])
	}
	for _, quantile := range []float64{50, 99} {
		report := func(name string, a, c *hdrhistogram.Histogram) {
			ms := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtPercentile(quantile)) / 1e6 }
			b.ReportMetric(ms(a), fmt.Sprintf("direct-%s-p%g-ms", name, quantile))
			b.ReportMetric(ms(c), fmt.Sprintf("node-%s-p%g-ms", name, quantile))
		}
		report("first", direct.first, through.first)
		report("gap", direct.gap, through.gap)
	}
}
