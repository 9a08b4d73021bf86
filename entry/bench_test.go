package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
	"hawthornrill.example/hawthornrill/session"
)

// instantEngine returns all tokens without delay.
type instantEngine struct {
	*schedulertest.Engine
	tokens int
	// gate, if set, blocks the second token until it is closed.
	gate chan struct{}
}

func newInstantEngine(tokens int, gate chan struct{}) *instantEngine {
	return &instantEngine{Engine: schedulertest.NewEngine(schedulertest.Script{}), tokens: tokens, gate: gate}
}

func (e *instantEngine) Start(context.Context, endpoint.EngineRequest) (endpoint.Stream, error) {
	return &instantStream{engine: e}, nil
}

type instantStream struct {
	engine *instantEngine
	next   int
}

var instantData = []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1760000000,"model":"m","choices":[{"index":0,"delta":{"content":" worktop"},"finish_reason":null}]}`)

func (s *instantStream) Next(ctx context.Context) (endpoint.Event, error) {
	if s.next == 1 && s.engine.gate != nil {
		select {
		case <-s.engine.gate:
		case <-ctx.Done():
			return endpoint.Event{}, ctx.Err()
		}
	}
	if s.next == s.engine.tokens {
		return endpoint.Event{}, io.EOF
	}
	event := endpoint.Event{Offset: uint64(s.next), Data: append([]byte(nil), instantData...)}
	s.next++
	return event, nil
}

func (s *instantStream) Close() error { return nil }

// stubCapacity grants at once, or blocks until the context ends. It records nothing.
type stubCapacity struct{ waiting bool }

func (c stubCapacity) Acquire(ctx context.Context, _ capacity.Request) (capacity.Grant, error) {
	if c.waiting {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return stubGrant{}, nil
}

type stubGrant struct{}

func (stubGrant) Endpoint() domain.EndpointID { return "e" }
func (stubGrant) Revoked() <-chan struct{}    { return nil }
func (stubGrant) Progress(int)                {}
func (stubGrant) Release(capacity.Result)     {}

// newBenchNode starts one node with fakes that take almost no time.
func newBenchNode(b *testing.B, engine endpoint.Engine, client capacity.Client) (http.Handler, *scheduler.Scheduler) {
	b.Helper()
	sessions, err := session.NewAuthority([][]byte{[]byte(strings.Repeat("s", 32))}, 0)
	assert.NilError(b, err)
	network := peertest.NewNetwork()
	link := network.Node(schedulertest.NewMember("a"))
	world := schedulertest.Cluster{
		Home:      schedulertest.NewHome(),
		Capacity:  client,
		Endpoints: schedulertest.Endpoints{Engines: map[domain.EndpointID]endpoint.Engine{"e": engine}},
	}
	s := world.NewScheduler(link, scheduler.Options{})
	e := echo.New()
	entry.New(entry.Dependencies{Self: link.Self(), Config: config.NewStaticView(snapshot()), Sessions: sessions, Scheduler: s}, entry.Options{}).Register(e)
	b.Cleanup(func() {
		s.Close()
		network.Close()
	})
	return e, s
}

// discardWriter is an http.ResponseWriter that counts and discards the bytes.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (d *discardWriter) Header() http.Header { return d.header }
func (d *discardWriter) WriteHeader(int)     {}
func (d *discardWriter) Flush()              {}
func (d *discardWriter) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

// BenchmarkSlopeAnswer measures the CPU time of one streamed answer, from HTTP
// handler to engine and back, by the number of tokens. All other components are
// fakes. The slope is the cost of a token, the intercept that of a request.
func BenchmarkSlopeAnswer(b *testing.B) {
	for _, tokens := range []int{1, 100, 300, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			handler, _ := newBenchNode(b, newInstantEngine(tokens, nil), stubCapacity{})
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				w := &discardWriter{header: make(http.Header)}
				handler.ServeHTTP(w, newRequest("POST", chatPath, chatBody, "Idempotency-Key", formatUint(uint64(i))))
				if w.bytes < tokens*len(instantData) {
					b.Fatal("answer is incomplete")
				}
			}
		})
	}
}

// BenchmarkSlopeOpenStreams measures the memory of started streams by their number:
// goroutines, buffers and the HTTP handler, without the connection.
func BenchmarkSlopeOpenStreams(b *testing.B) {
	for _, streams := range []int{100, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				handler, _ := newBenchNode(b, newInstantEngine(2, make(chan struct{})), stubCapacity{})
				b.ReportMetric(memoryPerRequest(b, handler, streams, func(w *countingWriter) bool { return w.writes.Load() > 0 }), "B/stream")
			}
		})
	}
}

// BenchmarkSlopeWaiting measures the memory of requests that wait for capacity.
func BenchmarkSlopeWaiting(b *testing.B) {
	for _, waiting := range []int{100, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				handler, s := newBenchNode(b, newInstantEngine(0, nil), stubCapacity{waiting: true})
				b.ReportMetric(memoryPerRequest(b, handler, waiting, func(*countingWriter) bool { return s.State().Waiting == waiting }), "B/waiting")
			}
		})
	}
}

type countingWriter struct {
	discardWriter
	writes atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes.Add(1)
	return w.discardWriter.Write(p)
}

// memoryPerRequest starts requests, waits until all are ready and returns the
// memory used by each.
func memoryPerRequest(b *testing.B, handler http.Handler, requests int, ready func(*countingWriter) bool) float64 {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var open sync.WaitGroup
	before := memoryInUse()
	writers := make([]*countingWriter, requests)
	for i := range writers {
		w := &countingWriter{discardWriter: discardWriter{header: make(http.Header)}}
		writers[i] = w
		open.Go(func() {
			r := httptest.NewRequest("POST", chatPath, strings.NewReader(chatBody)).WithContext(ctx)
			r.Header.Set("Authorization", "Bearer "+apiKey)
			r.Header.Set("Idempotency-Key", fmt.Sprintf("%036d", i))
			handler.ServeHTTP(w, r)
		})
	}
	for _, w := range writers {
		for !ready(w) {
			runtime.Gosched()
		}
	}
	used := memoryInUse() - before
	cancel()
	open.Wait()
	return float64(used) / float64(requests)
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
