package schedulertest

import (
	"context"
	"sync"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// Capacity grants places at the endpoints listed, in turn, without bound.
type Capacity struct {
	mu        sync.Mutex
	endpoints []domain.EndpointID
	err       error
	blocked   bool
	asks      []capacity.Ask
	grants    []*Grant
}

// NewCapacity returns a client that grants places at the endpoints.
func NewCapacity(endpoints ...domain.EndpointID) *Capacity { return &Capacity{endpoints: endpoints} }

// Refuse makes every ask fail; nil grants again.
func (c *Capacity) SetError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

// Block makes asks wait until their context ends.
func (c *Capacity) Block(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
}

// Asks returns the asks so far.
func (c *Capacity) Requests() []capacity.Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]capacity.Ask(nil), c.asks...)
}

// Grants returns the grants so far.
func (c *Capacity) Grants() []*Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Grant(nil), c.grants...)
}

// Held returns how many grants have not been released.
func (c *Capacity) Held() int {
	held := 0
	for _, grant := range c.Grants() {
		if grant.Result() == nil {
			held++
		}
	}
	return held
}

// Acquire grants, refuses or waits as told.
func (c *Capacity) Acquire(ctx context.Context, ask capacity.Ask) (capacity.Grant, error) {
	c.mu.Lock()
	c.asks = append(c.asks, ask)
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

// Grant is a place that was granted.
type Grant struct {
	endpoint domain.EndpointID
	revoked  chan struct{}

	mu       sync.Mutex
	result   *capacity.Result
	progress int
}

// Endpoint returns the endpoint.
func (g *Grant) Endpoint() domain.EndpointID { return g.endpoint }

// Revoked is closed by Revoke.
func (g *Grant) Revoked() <-chan struct{} { return g.revoked }

// Revoke takes the place back.
func (g *Grant) Revoke() { close(g.revoked) }

// Progress notes the tokens.
func (g *Grant) Progress(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress = tokens
}

// Release notes the first result.
func (g *Grant) Release(result capacity.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.result == nil {
		g.result = &result
	}
}

// Result returns what the place was released with, nil while it is held.
func (g *Grant) Result() *capacity.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result
}
