package answer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
)

// event returns one event of a model's stream, of typical size.
func event(random *rand.Rand, i int) []byte {
	word := fmt.Sprintf(" w%d", random.IntN(4000))
	return fmt.Appendf(nil, `{"id":"chatcmpl-%d","object":"chat.completion.chunk","created":1760000000,"model":"quote-1","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, i/1000000, word)
}

func fill(b *testing.B, tokens int, random *rand.Rand) *answer.Buffer {
	b.Helper()
	buffer := answer.NewBuffer(1 << 40)
	for i := range tokens {
		assert.NilError(b, buffer.Append(b.Context(), uint64(i), event(random, i)))
	}
	return buffer
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSlopeOpenAnswer measures the memory of an answer in progress, by number of tokens.
func BenchmarkSlopeOpenAnswer(b *testing.B) {
	for _, tokens := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			const answers = 50
			random := rand.New(rand.NewPCG(1, 2))
			held := make([]*answer.Buffer, answers)
			for b.Loop() {
				clear(held)
				before := heapBytes()
				for i := range held {
					held[i] = fill(b, tokens, random)
				}
				b.ReportMetric(float64(heapBytes()-before)/answers, "B/answer")
			}
			runtime.KeepAlive(held)
		})
	}
}

// BenchmarkSlopeFinishedAnswer measures the memory of a finished answer in the cache, by number of
// tokens, and the time taken to add it and to read it back.
func BenchmarkSlopeFinishedAnswer(b *testing.B) {
	for _, tokens := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			const answers = 100
			random := rand.New(rand.NewPCG(1, 2))
			var packing, opening time.Duration
			rounds := 0
			for b.Loop() {
				before := heapBytes()
				cache := answer.NewCache(answer.CacheOptions{MaxBytes: 1 << 40})
				for i := range answers {
					buffer := fill(b, tokens, random)
					buffer.End(answer.End{})
					start := time.Now()
					cache.Add(domain.RequestKey{Organisation: "cucine", Client: fmt.Sprintf("%036d", i)}, buffer, start)
					packing += time.Since(start)
				}
				b.ReportMetric(float64(heapBytes()-before)/answers, "B/answer")
				start := time.Now()
				_, held := cache.Get(domain.RequestKey{Organisation: "cucine", Client: fmt.Sprintf("%036d", 7)}, start)
				opening += time.Since(start)
				assert.Assert(b, held)
				rounds++
			}
			b.ReportMetric(float64(packing.Nanoseconds())/float64(rounds*answers), "pack-ns/answer")
			b.ReportMetric(float64(opening.Nanoseconds())/float64(rounds), "open-ns/answer")
		})
	}
}

// BenchmarkAppendToWaitingReader measures passing a chunk from the writer to a blocked reader.
func BenchmarkAppendToWaitingReader(b *testing.B) {
	buffer := answer.NewBuffer(1 << 20)
	data := event(rand.New(rand.NewPCG(1, 2)), 1)
	read := make(chan struct{})
	go func() {
		defer close(read)
		var position answer.Position
		for {
			batch, err := buffer.Read(context.Background(), position)
			if err != nil || batch.End != nil {
				return
			}
			position = position.Advance(batch)
		}
	}()
	b.ReportAllocs()
	sequence := uint64(0)
	for b.Loop() {
		if err := buffer.Append(context.Background(), sequence, data); err != nil {
			b.Fatal(err)
		}
		sequence++
	}
	buffer.End(answer.End{})
	<-read
}
