// Package retrybudget bounds how often requests are sent to a second endpoint, so that retries can't multiply an
// overload. The bound holds over all nodes without a message: each node has its own requests' part, and an equal part
// of what is allowed in any case.
package retrybudget

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// Options are the operators' bounds.
type Options struct {
	// Ratio of retries to requests in Window, and Slack on top, over all nodes.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// keep is the part of the bound that is used. The rest covers a node that restarts within a window and has forgotten
// what it sent.
const keep = 0.75

// buckets is the number of parts of a window.
const buckets = 10

// Budget counts requests and retries of each service. It is safe for concurrent use.
type Budget struct {
	options Options
	clock   boottime.Clock
	nodes   func() int

	mu       sync.Mutex
	services map[string]*window
}

// window counts over the last parts of a window.
type window struct {
	requests, retries [buckets]int
	part              int64
}

// New returns a budget. Nodes returns the number of nodes that may be alive.
func New(options Options, clock boottime.Clock, nodes func() int) *Budget {
	return &Budget{options: options, clock: clock, nodes: nodes, services: make(map[string]*window)}
}

// Request counts a first send.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.part%buckets]++
}

// Retry counts a further send and reports whether it is allowed.
func (b *Budget) Retry(service string) bool {
	nodes := max(b.nodes(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if !b.allows(w, nodes) {
		return false
	}
	w.retries[w.part%buckets]++
	return true
}

// Available reports whether a further send would be allowed now.
func (b *Budget) Available(service string) bool {
	nodes := max(b.nodes(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service), nodes)
}

func (b *Budget) allows(w *window, nodes int) bool {
	allowed := keep * (b.options.Ratio*float64(sum(w.requests)) + b.options.Slack/float64(nodes))
	return float64(sum(w.retries)+1) <= allowed
}

func (b *Budget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	w.advance(int64(b.clock()) / int64(max(b.options.Window/buckets, 1)))
	return w
}

func (w *window) advance(part int64) {
	for w.part < part {
		if part-w.part > buckets {
			w.part = part - buckets
		}
		w.part++
		w.requests[w.part%buckets] = 0
		w.retries[w.part%buckets] = 0
	}
}

func sum(counts [buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
