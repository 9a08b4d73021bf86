package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// trainedRouter returns a Router and endpoints with learned state: each endpoint has served
// conversations of 32 blocks that share their first 8 with all others.
func trainedRouter(endpoints, conversations int) (*Router, []*capacity.EndpointState) {
	rt := NewRouter(Options{})
	now := time.Unix(0, 0)
	var states []*capacity.EndpointState
	for i := range endpoints {
		state := &capacity.EndpointState{
			ID:           domain.EndpointID(fmt.Sprintf("runner-%d", i)),
			Row:          &config.EndpointRow{ID: domain.EndpointID(fmt.Sprintf("runner-%d", i)), Generation: fmt.Sprintf("g%d", i%2)},
			Requests:     8 + i%5,
			AnswerTokens: 3000,
		}
		states = append(states, state)
		for c := range conversations {
			request := conversationRequest(uint64(i*conversations + c))
			rt.Granted(now, state, &request)
			rt.Observe(now, state, &request, capacity.Result{
				Dispatched: true, Complete: true, PromptTokens: 2048, AnswerTokens: 200,
				FirstToken: 100 * time.Millisecond, Total: 4 * time.Second, CachedTokens: int(512),
			})
		}
	}
	return rt, states
}

func conversationRequest(n uint64) capacity.Request {
	blocks := make([]uint64, 32)
	for i := range blocks {
		blocks[i] = mix(uint64(i) + 1)
		if i >= 8 {
			blocks[i] = mix(n<<20 + uint64(i) + 1)
		}
	}
	return capacity.Request{
		Pool: "model/m", Session: fmt.Sprintf("s%d", n), Fingerprint: n + 1,
		PromptTokens: 2048, AnswerTokens: 200, Blocks: blocks,
	}
}

func benchmarkDecision(b *testing.B, size int) {
	rt, states := trainedRouter(size, 40)
	request := conversationRequest(uint64(size*20 + 7))
	now := time.Unix(1, 0)
	waiting := capacity.QueuedRequest{Request: &request, Due: now.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		rt.Choose(now, &waiting, states)
	}
}

// BenchmarkDecision measures one decision by number of endpoints.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{4, 20, 80, 130} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) { benchmarkDecision(b, size) })
	}
}

// BenchmarkSlopeDecision reports the decision time as a function of the pool's endpoints.
func BenchmarkSlopeDecision(b *testing.B) {
	for _, size := range []int{4, 20, 80} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			benchmarkDecision(b, size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/decision")
		})
	}
}

// BenchmarkGrant measures a grant and its completion.
func BenchmarkGrant(b *testing.B) {
	rt, states := trainedRouter(20, 40)
	request := conversationRequest(7)
	now := time.Unix(1, 0)
	result := capacity.Result{Dispatched: true, Complete: true, PromptTokens: 2048, AnswerTokens: 200, FirstToken: time.Second, Total: 2 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		rt.Granted(now, states[3], &request)
		rt.Observe(now, states[3], &request, result)
	}
}

// heapBytes returns the heap bytes retained by the result of make.
func heapBytes[T any](make func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(made)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSlopeEndpointMemory reports the memory of a Router as a function of its endpoints, without
// prompt blocks.
func BenchmarkSlopeEndpointMemory(b *testing.B) {
	for _, size := range []int{20, 80, 320} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			var held float64
			for b.Loop() {
				held = heapBytes(func() *Router {
					rt, _ := trainedRouter(size, 0)
					now := time.Unix(0, 0)
					for i := range size {
						rt.endpoint(now, &capacity.EndpointState{ID: domain.EndpointID(fmt.Sprintf("runner-%d", i)), Row: &config.EndpointRow{ID: domain.EndpointID(fmt.Sprintf("runner-%d", i))}})
					}
					return rt
				})
			}
			b.ReportMetric(held, "B/router")
		})
	}
}

// BenchmarkSlopePrefixMemory reports the memory of a full PrefixTable as a function of its blocks.
func BenchmarkSlopePrefixMemory(b *testing.B) {
	for _, size := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			var held float64
			for b.Loop() {
				held = heapBytes(func() *PrefixTable {
					t := NewPrefixTable(size, time.Unix(0, 0))
					for i := range 2 * size {
						t.Dispatched(time.Unix(1, 0), []uint64{mix(uint64(i))})
					}
					return t
				})
			}
			b.ReportMetric(held, "B/table")
		})
	}
}
