package answer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
)

// A reader receives either every chunk from its position on, in order, or an error, whatever the
// buffer's limit and the speed of the writer and the readers.
func TestReadersGetAllOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 40).Draw(t, "sizes")
		limit := rapid.IntRange(1, 2000).Draw(t, "limit")
		late := rapid.IntRange(0, 40).Draw(t, "late")
		buffer := answer.NewBuffer(limit)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i, size := range sizes {
				if buffer.Append(ctx, uint64(i), []byte(strings.Repeat("x", size))) != nil {
					return
				}
			}
			buffer.End(answer.End{})
		}()
		var position answer.Position
		for want := uint64(0); ; {
			batch, err := buffer.Read(ctx, position)
			if err != nil {
				t.Fatalf("the first reader must receive every chunk: %v", err)
			}
			for _, chunk := range batch.Chunks {
				if chunk.Sequence != want || len(chunk.Data) != sizes[want] {
					t.Fatalf("chunk %d of %d bytes, want %d of %d", chunk.Sequence, len(chunk.Data), want, sizes[want])
				}
				want++
			}
			if batch.End != nil {
				if want != uint64(len(sizes)) {
					t.Fatalf("ended after %d of %d", want, len(sizes))
				}
				break
			}
			position = position.Advance(batch)
		}
		<-done
		if buffer.Bytes() > max(limit, 400+48) {
			t.Fatalf("%d bytes held, limit %d", buffer.Bytes(), limit)
		}
		readLate(t, buffer, uint64(min(late, len(sizes))), sizes)
	})
}

// readLate reads an ended answer from a position on.
func readLate(t *rapid.T, buffer *answer.Buffer, from uint64, sizes []int) {
	position := answer.Position{From: from}
	for {
		batch, err := buffer.Read(context.Background(), position)
		if errors.Is(err, answer.ErrTruncated) && !buffer.Untruncated() {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		position = position.Advance(batch)
		if batch.End != nil {
			break
		}
	}
	if position.From != uint64(len(sizes)) {
		t.Fatalf("late reader stopped at %d of %d", position.From, len(sizes))
	}
}

func TestAppendOutOfOrder(t *testing.T) {
	buffer := answer.NewBuffer(0)
	assert.NilError(t, buffer.Append(t.Context(), 0, []byte("a")))
	for _, sequence := range []uint64{0, 2} {
		assert.ErrorIs(t, buffer.Append(t.Context(), sequence, nil), answer.ErrGap)
	}
	assert.Assert(t, buffer.End(answer.End{Outcome: domain.OutcomeRan}))
	assert.Assert(t, !buffer.End(answer.End{}))
	assert.ErrorIs(t, buffer.Append(t.Context(), 1, nil), answer.ErrEnded)
	end, _ := buffer.Ended()
	assert.Equal(t, end.Outcome, domain.OutcomeRan)
}

func TestHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		buffer := answer.NewBuffer(0)
		time.AfterFunc(time.Second, func() { buffer.SetHead(answer.Head{Status: 204}) })
		batch, err := buffer.Read(t.Context(), answer.Position{NeedHead: true})
		assert.NilError(t, err)
		assert.Equal(t, batch.Head.Status, 204)
		position := answer.Position{NeedHead: true}.Advance(batch)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = buffer.Read(ctx, position)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestCache(t *testing.T) {
	key := func(client string) domain.RequestKey { return domain.RequestKey{Organisation: "o", Client: client} }
	// Random data is not compressible.
	randomData := rand.NewChaCha8([32]byte{})
	finished := func(size int) *answer.Buffer {
		data := make([]byte, size)
		_, _ = randomData.Read(data)
		buffer := answer.NewBuffer(0)
		buffer.SetHead(answer.Head{Status: 200})
		assert.NilError(t, buffer.Append(t.Context(), 0, data))
		buffer.End(answer.End{})
		return buffer
	}
	var evicted []string
	cache := answer.NewCache(answer.CacheOptions{MaxBytes: 4000, Retention: time.Minute, OnEvict: func(key domain.RequestKey) {
		evicted = append(evicted, key.Client)
	}})
	start := time.Now()
	for i, client := range []string{"a", "b", "c"} {
		cache.Add(key(client), finished(1000), start.Add(time.Duration(i)*time.Second))
	}
	// The limit has room for two of the three answers.
	assert.DeepEqual(t, evicted, []string{"a"})
	last := finished(10)
	cache.Add(key("b"), last, start.Add(3*time.Second))
	got, _ := cache.Get(key("b"), start.Add(3*time.Second))
	for _, buffer := range []*answer.Buffer{last, got} {
		batch, err := buffer.Read(t.Context(), answer.Position{NeedHead: true})
		assert.NilError(t, err)
		first, err := last.Read(t.Context(), answer.Position{NeedHead: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, batch, first)
	}
	_, held := cache.Get(key("c"), start.Add(61*time.Second))
	assert.Assert(t, held)
	_, held = cache.Get(key("c"), start.Add(62*time.Second))
	assert.Assert(t, !held)
	_, held = cache.Get(domain.RequestKey{Organisation: "other", Client: "b"}, start)
	assert.Assert(t, !held)
	cache.Expire(start.Add(time.Hour))
	assert.DeepEqual(t, evicted, []string{"a", "c", "b"})
	answers, bytes := cache.Size()
	assert.Equal(t, answers+bytes, 0)
}

func TestReaderTracker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var readers answer.ReaderTracker
		start := time.Now()
		var idle []time.Duration
		readers.OnIdle(func() time.Duration { return 10 * time.Second }, func() { idle = append(idle, time.Since(start)) })
		time.Sleep(9 * time.Second)
		readers.Attach()
		readers.Attach()
		time.Sleep(20 * time.Second)
		readers.Detach()
		time.Sleep(20 * time.Second)
		readers.Detach()
		time.Sleep(9 * time.Second)
		readers.Attach()
		readers.Detach()
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.DeepEqual(t, idle, []time.Duration{68 * time.Second})
	})
}
