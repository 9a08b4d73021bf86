package peertest

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// DefaultTimeout is how long a Call without a deadline waits for a reply that
// can no longer come.
const DefaultTimeout = 10 * time.Second

// link is one direction between two nodes.
type link struct{ from, to domain.NodeID }

// life is one life of a node.
type life struct {
	node        domain.NodeID
	incarnation domain.Incarnation
}

// Network connects nodes in memory. Its methods are safe for concurrent use.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	nodes     map[life]*Node
	cuts      map[link]bool
	rules     []*dropRule
	delay     func(from, to domain.Member) time.Duration
	intercept Interceptor
	timeout   time.Duration
	counts    map[countKey]Count
	// changed is closed and replaced whenever a cut, pause or crash begins or ends.
	changed chan struct{}
}

// NewNetwork returns a network without delays and faults. Under synctest it must
// be made inside the bubble and closed before the bubble ends.
func NewNetwork() *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		ctx:     ctx,
		cancel:  cancel,
		nodes:   make(map[life]*Node),
		cuts:    make(map[link]bool),
		timeout: DefaultTimeout,
		counts:  make(map[countKey]Count),
		changed: make(chan struct{}),
	}
}

// Node adds a node, reachable at once. A later incarnation may be added while an
// earlier one is still there: both are reached by their own incarnation, and
// incarnation zero reaches the latest.
func (n *Network) Node(member domain.Member) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, cancel := context.WithCancel(n.ctx)
	node := &Node{
		network:  n,
		self:     member,
		ctx:      ctx,
		cancel:   cancel,
		handlers: make(map[peer.Method]peer.Handler),
		awake:    closedChannel(),
	}
	n.nodes[life{member.Node, member.Incarnation}] = node
	n.announce()
	return node
}

// Close ends all calls and handlers and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// SetTimeout sets how long a Call without a deadline waits for a reply that can
// no longer come.
func (n *Network) SetTimeout(timeout time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timeout = timeout
}

// SetDelay sets the one-way delay of messages; nil for none.
func (n *Network) SetDelay(delay func(from, to domain.Member) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Counts returns what the node has sent, requests and replies, by method. What is
// lost on the way is counted too; calls to oneself are not.
func (n *Network) Counts(node domain.NodeID) map[peer.Method]Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := make(map[peer.Method]Count)
	for key, count := range n.counts {
		if key.node == node {
			counts[key.method] = count
		}
	}
	return counts
}

// Total returns what all nodes have sent of the method, or of all methods if
// method is empty.
func (n *Network) Total(method peer.Method) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total Count
	for key, count := range n.counts {
		if method == "" || key.method == method {
			total = total.plus(count)
		}
	}
	return total
}

// ResetCounts sets all counters to zero.
func (n *Network) ResetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.counts)
}

// announce wakes all waiting calls to look at the state again. The lock is held.
func (n *Network) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// start runs f in a goroutine that Close waits for, unless already closed.
func (n *Network) start(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
