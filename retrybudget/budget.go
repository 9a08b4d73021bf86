// Package retrybudget bounds how often requests are sent to a second endpoint, so that retries can't multiply
// an overload. The bound holds across all nodes without communication: each node may use the ratio of its own
// requests and an equal share of the slack.
package retrybudget

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// Options are the operators' bounds.
type Options struct {
	// Ratio is the allowed ratio of retries to requests within Window, Slack the number of retries allowed in
	// addition, both over all nodes.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// usableFraction is the fraction of the bound that is used. The rest covers a node that restarts within a
// window and has lost its counts.
const usableFraction = 0.75

// bucketCount is the number of buckets of a window.
const bucketCount = 10

// Budget counts requests and retries of each service. It is safe for concurrent use.
type Budget struct {
	options Options
	clock   boottime.Clock
	nodes   func() int

	mu       sync.Mutex
	services map[string]*window
}

// window holds the counts of a sliding window in buckets.
type window struct {
	requests, retries [bucketCount]int
	bucket            int64
}

// New returns a budget. The nodes function returns the number of nodes that may be running.
func New(options Options, clock boottime.Clock, nodes func() int) *Budget {
	return &Budget{options: options, clock: clock, nodes: nodes, services: make(map[string]*window)}
}

// Request counts a first dispatch.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket%bucketCount]++
}

// Retry reports whether a further dispatch is allowed, and counts it if so.
func (b *Budget) Retry(service string) bool {
	nodes := max(b.nodes(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if !b.allows(w, nodes) {
		return false
	}
	w.retries[w.bucket%bucketCount]++
	return true
}

// Available reports whether a further dispatch would be allowed now.
func (b *Budget) Available(service string) bool {
	nodes := max(b.nodes(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service), nodes)
}

func (b *Budget) allows(w *window, nodes int) bool {
	allowed := usableFraction * (b.options.Ratio*float64(sum(w.requests)) + b.options.Slack/float64(nodes))
	return float64(sum(w.retries)+1) <= allowed
}

func (b *Budget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	w.advance(int64(b.clock()) / int64(max(b.options.Window/bucketCount, 1)))
	return w
}

func (w *window) advance(bucket int64) {
	for w.bucket < bucket {
		if bucket-w.bucket > bucketCount {
			w.bucket = bucket - bucketCount
		}
		w.bucket++
		w.requests[w.bucket%bucketCount] = 0
		w.retries[w.bucket%bucketCount] = 0
	}
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
