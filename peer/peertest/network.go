package peertest

import (
	"context"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// DefaultTimeout is the time after which a Call fails once its reply has become
// impossible.
const DefaultTimeout = 10 * time.Second

// link is one direction of the connection between two nodes.
type link struct{ from, to domain.NodeID }

// incarnationKey identifies one incarnation of a node.
type incarnationKey struct {
	node        domain.NodeID
	incarnation domain.Incarnation
}

// Network is an in-memory network. Its methods are safe for concurrent use.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	nodes     map[incarnationKey]*Node
	cuts      map[link]bool
	rules     []*dropRule
	delay     func(from, to domain.Member) time.Duration
	intercept Interceptor
	timeout   time.Duration
	counts    map[countKey]Count
	// changed is closed and replaced whenever a node is added, crashes, pauses or
	// resumes, or a link is cut or restored.
	changed chan struct{}
}

// NewNetwork returns a network without delays or faults. Under synctest it must be
// created inside the bubble and closed before the bubble ends.
func NewNetwork() *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		ctx:     ctx,
		cancel:  cancel,
		nodes:   make(map[incarnationKey]*Node),
		cuts:    make(map[link]bool),
		timeout: DefaultTimeout,
		counts:  make(map[countKey]Count),
		changed: make(chan struct{}),
	}
}

// Node adds a node to the network, which is reachable at once. A later incarnation
// may be added while an earlier one exists: each is addressed by its own
// incarnation, and incarnation zero addresses the latest.
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
		resumed:  closedChannel(),
	}
	n.nodes[incarnationKey{member.Node, member.Incarnation}] = node
	n.notifyChanged()
	return node
}

// Close cancels all calls and handlers and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// SetTimeout sets the time after which a Call fails once its reply has become
// impossible.
func (n *Network) SetTimeout(timeout time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timeout = timeout
}

// SetDelay sets the function that returns the one-way delay of messages; nil for no
// delay.
func (n *Network) SetDelay(delay func(from, to domain.Member) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Counts returns the requests and replies that the node has sent, by method. Lost
// messages are included; calls of a node to itself are not.
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

// Total returns the messages that all nodes have sent for the method, or for all
// methods if method is empty.
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

// ResetCounts resets all message counters.
func (n *Network) ResetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.counts)
}

// notifyChanged makes all waiting calls check the state of the network again. The
// lock must be held.
func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// start runs f in a goroutine that Close waits for. It returns false if the network
// is closed.
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
