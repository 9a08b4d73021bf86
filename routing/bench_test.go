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

// fleet returns a Router and endpoints that have learned something: each has run
// conversations of 32 blocks that share their first 8 with all others.
func fleet(endpoints, conversations int) (*Router, []*capacity.EndpointState) {
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
			ask := conversation(uint64(i*conversations + c))
			rt.Granted(now, state, &ask)
			rt.Observe(now, state, &ask, capacity.Result{
				Dispatched: true, Complete: true, PromptTokens: 2048, AnswerTokens: 200,
				FirstToken: 100 * time.Millisecond, Total: 4 * time.Second, CachedTokens: int(512),
			})
		}
	}
	return rt, states
}

func conversation(n uint64) capacity.Request {
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
	rt, states := fleet(size, 40)
	ask := conversation(uint64(size*20 + 7))
	now := time.Unix(1, 0)
	waiting := capacity.QueuedRequest{Request: &ask, Due: now.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		rt.Choose(now, &waiting, states)
	}
}

// BenchmarkDecision is one choice among so many endpoints.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{4, 20, 80, 130} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) { benchmarkDecision(b, size) })
	}
}

// BenchmarkSlopeDecision is the time of a choice by endpoints of the pool.
func BenchmarkSlopeDecision(b *testing.B) {
	for _, size := range []int{4, 20, 80} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			benchmarkDecision(b, size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/decision")
		})
	}
}

// BenchmarkGrant is a grant and its end.
func BenchmarkGrant(b *testing.B) {
	rt, states := fleet(20, 40)
	ask := conversation(7)
	now := time.Unix(1, 0)
	result := capacity.Result{Dispatched: true, Complete: true, PromptTokens: 2048, AnswerTokens: 200, FirstToken: time.Second, Total: 2 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		rt.Granted(now, states[3], &ask)
		rt.Observe(now, states[3], &ask, result)
	}
}

// heapOf returns the bytes that make's result holds.
func heapOf[T any](make func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(made)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSlopeEndpointMemory is what a Router holds by endpoints, without prompt
// blocks.
func BenchmarkSlopeEndpointMemory(b *testing.B) {
	for _, size := range []int{20, 80, 320} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			var held float64
			for b.Loop() {
				held = heapOf(func() *Router {
					rt, _ := fleet(size, 0)
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

// BenchmarkSlopePrefixMemory is what a full PrefixTable holds by blocks.
func BenchmarkSlopePrefixMemory(b *testing.B) {
	for _, size := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			var held float64
			for b.Loop() {
				held = heapOf(func() *PrefixTable {
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
