package queue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

const organisations = 2900

// newFilledQueue returns a queue with the given number of items, of 2,900 organisations in three tiers.
func newFilledQueue(waiting int) *Queue[int] {
	q := New[int](1 << 30)
	for i := range waiting {
		q.Push(testItem(i))
	}
	return q
}

func testItem(i int) *Item[int] {
	return &Item[int]{
		Value: i, Tier: domain.Tier(i % 3), Organisation: organisationIDs[i*7919%organisations], Weight: 1 + i%5,
		Cost: int64(1 + i*31%4000), Due: epoch.Add(time.Duration(i*104729%60000) * time.Millisecond),
	}
}

var organisationIDs = func() []domain.OrganisationID {
	all := make([]domain.OrganisationID, organisations)
	for i := range all {
		all[i] = domain.OrganisationID(fmt.Sprintf("organisation-%d", i))
	}
	return all
}()

// BenchmarkSlopePushPop measures a push and a pop by queue length.
func BenchmarkSlopePushPop(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := newFilledQueue(waiting)
			b.ReportAllocs()
			i := waiting
			for b.Loop() {
				q.Push(testItem(i))
				q.Pop(func(*Item[int]) bool { return true })
				i++
			}
		})
	}
}

// BenchmarkSlopeMemory measures the memory per waiting item, including that of its organisation.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				q := newFilledQueue(waiting)
				used := heapBytes() - before
				b.ReportMetric(float64(used)/float64(waiting), "B/waiting")
				runtime.KeepAlive(q)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
