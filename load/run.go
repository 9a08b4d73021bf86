package load

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/entry"
)

// RunOptions configures a run.
type RunOptions struct {
	// MaxOpen limits the number of concurrent requests. Requests above the limit are not
	// sent and are counted as dropped. Zero means no limit.
	MaxOpen int
	// OneWayDelay is the simulated network delay between callers and nodes, for targets
	// that have none of their own.
	OneWayDelay time.Duration
}

// Record is the client-side record of a run.
type Record struct {
	Start   time.Time
	Results []Result
	// InterTokenLatency holds the times between tokens, in microseconds.
	InterTokenLatency *hdrhistogram.Histogram
	// Dropped counts requests that were not sent because of MaxOpen.
	Dropped int
	Elapsed time.Duration
}

// runner sends the requests of a workload.
type runner struct {
	target  Target
	options RunOptions
	start   time.Time
	slots   chan struct{}
	mu      sync.Mutex
	record  *Record
}

// Range, in microseconds, and precision of the latency histograms.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Run sends all requests at their scheduled times, regardless of the progress of earlier
// ones (open loop). It returns when all requests have ended; when the context is done, no
// more requests are sent.
func Run(ctx context.Context, w *Workload, target Target, options RunOptions) *Record {
	r := &runner{
		target:  target,
		options: options,
		start:   time.Now(),
		record:  &Record{Results: make([]Result, len(w.Requests)), InterTokenLatency: newHistogram()},
	}
	r.record.Start = r.start
	if options.MaxOpen > 0 {
		r.slots = make(chan struct{}, options.MaxOpen)
	}
	var callers sync.WaitGroup
	for i := range w.Requests {
		request := &w.Requests[i]
		r.record.Results[i].Request = request
		if !sleepUntil(ctx, r.start.Add(request.At)) {
			break
		}
		if !r.acquireSlot() {
			r.record.Dropped++
			continue
		}
		callers.Go(func() {
			defer r.releaseSlot()
			r.call(ctx, &r.record.Results[i])
		})
	}
	callers.Wait()
	r.record.Elapsed = r.now()
	return r.record
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

func (r *runner) acquireSlot() bool {
	if r.slots == nil {
		return true
	}
	select {
	case r.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *runner) releaseSlot() {
	if r.slots != nil {
		<-r.slots
	}
}

func (r *runner) now() time.Duration { return time.Since(r.start) }

// call sends a request as its caller would. A request with a RetryAfter is sent again
// after that time unless the first attempt is complete by then; if that is still running,
// both continue in parallel.
func (r *runner) call(ctx context.Context, result *Result) {
	request := result.Request
	node := nodeFor(request.Key, r.target.Nodes(request.DataCentre))
	if request.HangUpAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.HangUpAfter)
		defer cancel()
	}
	first := make(chan Attempt, 1)
	go func() { first <- r.attempt(ctx, request, node) }()
	if request.RetryAfter == 0 {
		result.Attempts = append(result.Attempts, <-first)
		return
	}
	select {
	case a := <-first:
		result.Attempts = append(result.Attempts, a)
		if a.Complete {
			return
		}
		if !sleepUntil(ctx, r.start.Add(request.At+request.RetryAfter)) {
			return
		}
		result.Attempts = append(result.Attempts, r.attempt(ctx, request, node+1))
	case <-time.After(request.RetryAfter):
		second := r.attempt(ctx, request, node+1)
		result.Attempts = append(result.Attempts, <-first, second)
	}
}

func nodeFor(key string, nodes int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % uint32(nodes))
}

// attempt sends a request once and returns the result.
func (r *runner) attempt(ctx context.Context, request *Request, node int) Attempt {
	sent := r.now()
	time.Sleep(r.options.OneWayDelay)
	recorder := newResponseRecorder(func() time.Duration { return r.now() + r.options.OneWayDelay }, r.recordTokenGap)
	h, err := newHTTPRequest(ctx, request, r.now())
	if err != nil {
		return Attempt{Sent: sent, Ended: r.now(), Detail: err.Error()}
	}
	node %= r.target.Nodes(request.DataCentre)
	err = r.target.Send(request.DataCentre, node, h, recorder)
	a := recorder.attempt(sent)
	a.HungUp = ctx.Err() != nil && !a.Complete
	if err != nil {
		a.Detail = err.Error()
	}
	return a
}

// newHTTPRequest returns the HTTP request, with the remaining time until the caller's
// timeout in a header.
func newHTTPRequest(ctx context.Context, request *Request, now time.Duration) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, request.Method, "http://node"+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	left := max(request.At+request.Timeout-now, time.Millisecond)
	h.Header.Set("Authorization", "Bearer "+deployment.DemoKey(request.Organisation))
	h.Header.Set("Content-Type", "application/json")
	h.Header.Set(entry.KeyHeader, request.Key)
	h.Header.Set(entry.TimeoutHeader, fmt.Sprintf("%.3f", left.Seconds()))
	return h, nil
}

func (r *runner) recordTokenGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.InterTokenLatency.RecordValue(max(d.Microseconds(), minMicros))
}
