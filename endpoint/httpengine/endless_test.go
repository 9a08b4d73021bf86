package httpengine_test

import (
	"context"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against engines whose streams have an event, a comment or a report without end.
func TestEndlessAnswersStayWithinMemory(t *testing.T) {
	const crowd, maxHeapGrowth = 60, 40 << 20
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	start := func(ctx context.Context, c *httpengine.Client) error {
		stream, err := c.Start(ctx, endpoint.EngineRequest{Key: "k", Body: []byte("{}")})
		for err == nil {
			_, err = stream.Next(ctx)
		}
		return err
	}
	load := func(ctx context.Context, c *httpengine.Client) error {
		_, err := c.Load(ctx)
		return err
	}
	for name, test := range map[string]struct {
		repeated string
		call     func(context.Context, *httpengine.Client) error
	}{
		"line":   {"x", start},
		"event":  {"data: x\n", start},
		"report": {" ", load},
	} {
		t.Run(name, func(t *testing.T) {
			s := responsetest.ServeEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", test.repeated)
			transport := onesend.New(onesend.Options{})
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			var calls sync.WaitGroup
			for range crowd {
				calls.Go(func() { assert.Check(t, test.call(ctx, httpengine.New("http://"+s.Address, transport)) != nil) })
			}
			calls.Wait()
			assert.NilError(t, ctx.Err())
			t.Logf("the heap grew by %.1f MB", float64(s.HeapGrowth())/(1<<20))
			assert.Assert(t, s.HeapGrowth() < maxHeapGrowth)
		})
	}
}
