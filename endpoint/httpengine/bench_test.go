package httpengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/standin/engine"
)

const benchTokens = 200

// BenchmarkStreams measures the time per token of the stand-in and the adapter
// together, with the given number of streams at a time, as fast as they can.
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

// readAll returns the number of events of a whole answer.
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
