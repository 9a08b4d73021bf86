package httpengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/standin/engine"
)

const benchTokens = 200

// BenchmarkStreams measures the time per token of the stand-in and the adapter together, for the
// given number of concurrent streams at full speed.
func BenchmarkStreams(b *testing.B) {
	request := []byte(strings.Replace(body, "20", fmt.Sprint(benchTokens), 1))
	for _, streams := range []int{1, 50, 500} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			client, _ := newClient(b, engine.Options{Speed: engine.NoDelay(), BatchLimit: streams, Retention: time.Millisecond})
			var number, events atomic.Int64
			b.ReportAllocs()
			for b.Loop() {
				var all errgroup.Group
				for range streams {
					key := fmt.Sprint(number.Add(1))
					all.Go(func() error {
						n, err := readAll(b.Context(), client, endpoint.EngineRequest{Key: key, Body: request})
						events.Add(n)
						return err
					})
				}
				assert.NilError(b, all.Wait())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events.Load()), "ns/token")
		})
	}
}

// readAll reads a whole answer and returns its number of events.
func readAll(ctx context.Context, client *httpengine.Client, request endpoint.EngineRequest) (int64, error) {
	s, err := client.Start(ctx, request)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := int64(0); ; n++ {
		_, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

// BenchmarkPacedStreams reports, for 500 streams at one token per 20 ms, the delay of tokens and
// the CPU time per token, of the stand-in and the adapter together.
func BenchmarkPacedStreams(b *testing.B) {
	const (
		streams  = 500
		interval = 20 * time.Millisecond
	)
	client, _ := newClient(b, engine.Options{Speed: engine.FixedInterval(interval), BatchLimit: streams})
	request := []byte(strings.Replace(body, "20", fmt.Sprint(benchTokens), 1))
	var number int
	late := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	processor := processorTime(b)
	for b.Loop() {
		var all errgroup.Group
		for range streams {
			number++
			engineRequest := endpoint.EngineRequest{Key: fmt.Sprint(number), Body: request}
			all.Go(func() error {
				gaps, err := readGaps(b.Context(), client, engineRequest)
				mu.Lock()
				defer mu.Unlock()
				for _, gap := range gaps {
					_ = late.RecordValue(max(1, int64(gap-interval)))
				}
				return err
			})
		}
		assert.NilError(b, all.Wait())
	}
	tokens := float64(number * benchTokens)
	b.ReportMetric(float64(processorTime(b)-processor)/tokens, "cpu-ns/token")
	b.ReportMetric(float64(late.ValueAtQuantile(50))/1e3, "late-p50-us")
	b.ReportMetric(float64(late.ValueAtQuantile(99))/1e3, "late-p99-us")
}

// readGaps returns the intervals between the tokens of an answer.
func readGaps(ctx context.Context, client *httpengine.Client, request endpoint.EngineRequest) ([]time.Duration, error) {
	s, err := client.Start(ctx, request)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var gaps []time.Duration
	var last time.Time
	for {
		_, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return gaps[:benchTokens-1], nil
		}
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if !last.IsZero() {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
}

// processorTime returns the CPU time used by the process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
