package schedulertest

import (
	"context"
	"sync"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Capacity grants an unlimited number of slots at the listed endpoints, in turn.
type Capacity struct {
	mu        sync.Mutex
	endpoints []domain.EndpointID
	err       error
	blocked   bool
	requests  []capacity.Request
	grants    []*Grant
}

// NewCapacity returns a client that grants slots at the endpoints.
func NewCapacity(endpoints ...domain.EndpointID) *Capacity { return &Capacity{endpoints: endpoints} }

// SetError makes every Acquire fail with err; nil restores grants.
func (c *Capacity) SetError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

// Block makes Acquire wait until its context ends.
func (c *Capacity) Block(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
}

// Requests returns the requests received so far.
func (c *Capacity) Requests() []capacity.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]capacity.Request(nil), c.requests...)
}

// Grants returns the grants made so far.
func (c *Capacity) Grants() []*Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Grant(nil), c.grants...)
}

// Held returns the number of grants that have not been released.
func (c *Capacity) Held() int {
	held := 0
	for _, grant := range c.Grants() {
		if grant.Result() == nil {
			held++
		}
	}
	return held
}

// Acquire implements capacity.Client.
func (c *Capacity) Acquire(ctx context.Context, request capacity.Request) (capacity.Grant, error) {
	c.mu.Lock()
	c.requests = append(c.requests, request)
	if c.blocked {
		c.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	id := c.endpoints[len(c.grants)%len(c.endpoints)]
	grant := &Grant{endpoint: id, revoked: make(chan struct{})}
	c.grants = append(c.grants, grant)
	return grant, nil
}

// Grant is a granted slot.
type Grant struct {
	endpoint domain.EndpointID
	revoked  chan struct{}

	mu       sync.Mutex
	result   *capacity.Result
	progress int
}

// Endpoint returns the endpoint of the slot.
func (g *Grant) Endpoint() domain.EndpointID { return g.endpoint }

// Revoked returns a channel that Revoke closes.
func (g *Grant) Revoked() <-chan struct{} { return g.revoked }

// Revoke revokes the slot.
func (g *Grant) Revoke() { close(g.revoked) }

// Progress records the number of tokens.
func (g *Grant) Progress(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress = tokens
}

// Release records the first result.
func (g *Grant) Release(result capacity.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.result == nil {
		g.result = &result
	}
}

// Result returns the result with which the slot was released, nil while it is held.
func (g *Grant) Result() *capacity.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result
}
