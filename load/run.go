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

// RunOptions bound a run.
type RunOptions struct {
	// MaxOpen bounds the requests open at a time; beyond it requests are not sent
	// and counted as dropped. Zero for no bound.
	MaxOpen int
	// OneWayDelay is a delay between callers and nodes that the target does not make
	// itself.
	OneWayDelay time.Duration
}

// Record is what a run gave.
type Record struct {
	Start   time.Time
	Results []Result
	// Gaps holds the times between tokens in microseconds.
	InterTokenLatency *hdrhistogram.Histogram
	// Dropped counts requests that were not sent for MaxOpen.
	Dropped int
	Elapsed time.Duration
}

// runner sends a workload.
type runner struct {
	target  Target
	options RunOptions
	start   time.Time
	open    chan struct{}
	mu      sync.Mutex
	record  *Record
}

// histogram bounds in microseconds.
const (
	leastMicros = 1
	mostMicros  = 600_000_000
	digits      = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicros, mostMicros, digits)
}

// Run sends all requests at their times, whatever becomes of those before, and
// returns when all have ended, or early when the context ends.
func Run(ctx context.Context, w *Workload, target Target, options RunOptions) *Record {
	r := &runner{
		target:  target,
		options: options,
		start:   time.Now(),
		record:  &Record{Results: make([]Result, len(w.Requests)), InterTokenLatency: newHistogram()},
	}
	r.record.Start = r.start
	if options.MaxOpen > 0 {
		r.open = make(chan struct{}, options.MaxOpen)
	}
	var callers sync.WaitGroup
	for i := range w.Requests {
		request := &w.Requests[i]
		r.record.Results[i].Request = request
		if !sleepUntil(ctx, r.start.Add(request.At)) {
			break
		}
		if !r.enter() {
			r.record.Dropped++
			continue
		}
		callers.Go(func() {
			defer r.leave()
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

func (r *runner) enter() bool {
	if r.open == nil {
		return true
	}
	select {
	case r.open <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *runner) leave() {
	if r.open != nil {
		<-r.open
	}
}

func (r *runner) now() time.Duration { return time.Since(r.start) }

// call is one caller: it sends the request, and again beside the first attempt
// when its patience is short.
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

// attempt sends a request once.
func (r *runner) attempt(ctx context.Context, request *Request, node int) Attempt {
	sent := r.now()
	time.Sleep(r.options.OneWayDelay)
	recorder := newRecorder(func() time.Duration { return r.now() + r.options.OneWayDelay }, r.gap)
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

// newHTTPRequest makes the HTTP request, which says how long the caller will wait.
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

func (r *runner) gap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.InterTokenLatency.RecordValue(max(d.Microseconds(), leastMicros))
}
