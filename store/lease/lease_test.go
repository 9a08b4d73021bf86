package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/memstore"
)

const key = "leases/coordinator"

// pausableStore simulates a pause of the process that uses the store: keep-alives
// return only when the pause has ended.
type pausableStore struct {
	store.Store
	mu      sync.Mutex
	resumed chan struct{}
}

func (p *pausableStore) pauseFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resumed := make(chan struct{})
	p.resumed = resumed
	time.AfterFunc(d, func() { close(resumed) })
}

func (p *pausableStore) blockWhilePaused() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// KeepAlive makes the call and returns its result after the pause.
func (p *pausableStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := p.Store.KeepAlive(ctx, id)
	p.blockWhilePaused()
	return err
}

func acquire(t *testing.T, s store.Store, owner string) *Lease {
	t.Helper()
	l, err := Acquire(t.Context(), s, key, Options{Owner: owner})
	assert.NilError(t, err)
	return l
}

func TestHolderUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(m *memstore.Store, c *memstore.Client, p *pausableStore)
		// held is how long the holder keeps the lease; zero for the whole test.
		held time.Duration
	}{
		{"none", func(*memstore.Store, *memstore.Client, *pausableStore) {}, 0},
		{"responses lost", func(_ *memstore.Store, c *memstore.Client, _ *pausableStore) { c.DropNextResponses(2) }, 0},
		{"slow", func(_ *memstore.Store, c *memstore.Client, _ *pausableStore) { c.SetDelay(2 * time.Second) }, 0},
		// The last keep-alive is sent at 60 s; the lease ends after the TTL of 15 s less
		// the margin of 3 s.
		{"partitioned from the store", func(_ *memstore.Store, c *memstore.Client, _ *pausableStore) { c.SetDown(true) }, 72 * time.Second},
		// The store processes the keep-alive sent at 65 s, but the holder doesn't learn
		// of it before its lease ends.
		{"paused", func(_ *memstore.Store, _ *memstore.Client, p *pausableStore) { p.pauseFor(2 * time.Minute) }, 72 * time.Second},
		// The response to the keep-alive sent at 65 s arrives at 69 s; the lease is
		// counted from 65 s.
		{"late response, then partition", func(_ *memstore.Store, c *memstore.Client, p *pausableStore) {
			p.pauseFor(8 * time.Second)
			time.AfterFunc(5*time.Second, func() { c.SetDown(true) })
		}, 77 * time.Second},
		{"store restored", func(m *memstore.Store, _ *memstore.Client, _ *pausableStore) { m.Restore(m.Save()) }, 65 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memstore.New(memstore.Options{})
				client := m.NewClient()
				p := &pausableStore{Store: client}
				l := acquire(t, p, "a")
				start := time.Now()
				time.Sleep(61 * time.Second)
				assert.Assert(t, l.Held())
				c.fault(m, client, p)
				other := m.NewClient()
				var second *Lease
				for range 5 * 60 * 10 {
					time.Sleep(100 * time.Millisecond)
					if second == nil {
						second, _ = Acquire(t.Context(), other, key, Options{Owner: "b"})
					}
					// The two processes never hold the lease at the same time.
					assert.Assert(t, second == nil || !l.Held(), "after %s", time.Since(start))
					held := c.held == 0 || time.Since(start) < c.held
					assert.Equal(t, l.Held(), held, "after %s", time.Since(start))
				}
				if c.held == 0 {
					assert.NilError(t, l.Release(t.Context()))
					second = acquire(t, other, "b")
				}
				<-l.Lost()
				assert.ErrorIs(t, l.Check(), ErrLost)
				assert.Assert(t, second.Fencing() > l.Fencing() || c.name == "store restored")
				assert.NilError(t, second.Release(t.Context()))
				client.SetDown(false)
				assert.NilError(t, l.Release(t.Context()))
			})
		})
	}
}

func TestAcquireUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *memstore.Client)
		err   error
	}{
		{"response to the claim lost", func(c *memstore.Client) {
			c.SetFunc(func(call memstore.Call) memstore.Fault {
				return memstore.Fault{DropResponse: call.Operation == memstore.OperationCompareAndSwap && call.Number == 2}
			})
		}, nil},
		{"down", func(c *memstore.Client) { c.SetDown(true) }, ErrNotAcquired},
		{"grant slower than the TTL", func(c *memstore.Client) { c.SetDelay(20 * time.Second) }, ErrNotAcquired},
		{"claim too slow", func(c *memstore.Client) {
			c.SetFunc(func(call memstore.Call) memstore.Fault {
				if call.Operation == memstore.OperationCompareAndSwap {
					return memstore.Fault{Delay: 20 * time.Second}
				}
				return memstore.Fault{}
			})
		}, ErrNotAcquired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memstore.New(memstore.Options{})
				client := m.NewClient()
				c.fault(client)
				l, err := Acquire(t.Context(), client, key, Options{Owner: "a"})
				assert.ErrorIs(t, err, c.err)
				other := m.NewClient()
				if err == nil {
					assert.Assert(t, l.Held())
					_, err := Acquire(t.Context(), other, key, Options{})
					assert.ErrorIs(t, err, ErrHeld)
					assert.ErrorContains(t, err, ": a")
					assert.NilError(t, l.Release(t.Context()))
				}
				time.Sleep(time.Minute)
				later := acquire(t, other, "b")
				assert.NilError(t, later.Release(t.Context()))
			})
		})
	}
}

// A holder that resumes after its lease has expired may still receive the response
// to a keep-alive; that response must not revive the lease.
func TestLateResponseDoesNotReviveLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memstore.New(memstore.Options{})
		p := &pausableStore{Store: m.NewClient()}
		l := acquire(t, p, "a")
		time.Sleep(4 * time.Second)
		p.pauseFor(10 * time.Second)
		time.Sleep(8*time.Second + time.Millisecond)
		assert.Assert(t, !l.Held())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !l.Held())
		<-l.Lost()
		assert.NilError(t, l.Release(t.Context()))
	})
}

func TestCampaignFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memstore.New(memstore.Options{})
		clients := []*memstore.Client{m.NewClient(), m.NewClient(), m.NewClient()}
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var fencings []FencingToken
		leading, leader := 0, -1
		var wg sync.WaitGroup
		for i, client := range clients {
			wg.Go(func() {
				_ = Campaign(ctx, client, key, Options{}, func(ctx context.Context, l *Lease) {
					mu.Lock()
					leading++
					leader = i
					assert.Check(t, leading == 1)
					fencings = append(fencings, l.Fencing())
					mu.Unlock()
					<-ctx.Done()
					assert.Check(t, !l.Held() || ctx.Err() != nil)
					mu.Lock()
					leading--
					mu.Unlock()
				})
			})
		}
		for range 4 {
			time.Sleep(time.Minute)
			mu.Lock()
			failed := leader
			mu.Unlock()
			clients[failed].SetDown(true)
			time.Sleep(30 * time.Second)
			mu.Lock()
			assert.Assert(t, leader != failed)
			assert.Equal(t, leading, 1)
			mu.Unlock()
			clients[failed].SetDown(false)
		}
		cancel()
		wg.Wait()
		for i := range fencings[1:] {
			assert.Assert(t, fencings[i+1] > fencings[i])
		}
		t.Logf("store calls in 6 min with 4 failovers and 3 candidates: %+v", m.Counts())
	})
}
