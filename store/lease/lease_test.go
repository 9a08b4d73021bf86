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

// pausable is a store whose user's process can be stopped at its next call.
type pausable struct {
	store.Store
	mu      sync.Mutex
	resumed chan struct{}
}

func (p *pausable) pauseFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resumed := make(chan struct{})
	p.resumed = resumed
	time.AfterFunc(d, func() { close(resumed) })
}

func (p *pausable) hold() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// KeepAlive carries the call out and holds its answer back.
func (p *pausable) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := p.Store.KeepAlive(ctx, id)
	p.hold()
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
		fault func(m *memstore.Store, c *memstore.Client, p *pausable)
		// held is for how long the holder holds; zero for as long as the test runs.
		held time.Duration
	}{
		{"none", func(*memstore.Store, *memstore.Client, *pausable) {}, 0},
		{"answers lost", func(_ *memstore.Store, c *memstore.Client, _ *pausable) { c.DropNextResponses(2) }, 0},
		{"slow", func(_ *memstore.Store, c *memstore.Client, _ *pausable) { c.SetDelay(2 * time.Second) }, 0},
		// The last keep-alive was sent at 60 s; TTL 15 s less the margin of 3 s.
		{"cut off from the store", func(_ *memstore.Store, c *memstore.Client, _ *pausable) { c.SetDown(true) }, 72 * time.Second},
		// The keep-alive sent at 65 s was carried out, but the holder can't know it
		// by the time its lease ends.
		{"paused", func(_ *memstore.Store, _ *memstore.Client, p *pausable) { p.pauseFor(2 * time.Minute) }, 72 * time.Second},
		// The keep-alive of 65 s is answered at 69 s; the lease counts from 65 s.
		{"answered late, then cut off", func(_ *memstore.Store, c *memstore.Client, p *pausable) {
			p.pauseFor(8 * time.Second)
			time.AfterFunc(5*time.Second, func() { c.SetDown(true) })
		}, 77 * time.Second},
		{"store restored", func(m *memstore.Store, _ *memstore.Client, _ *pausable) { m.Restore(m.Save()) }, 65 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memstore.New(memstore.Options{})
				client := m.NewClient()
				p := &pausable{Store: client}
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
					// Never two at a time.
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
		{"claim's answer lost", func(c *memstore.Client) {
			c.SetFunc(func(call memstore.Call) memstore.Fault {
				return memstore.Fault{DropResponse: call.Operation == memstore.OperationCompareAndSwap && call.Number == 2}
			})
		}, nil},
		{"down", func(c *memstore.Client) { c.SetDown(true) }, ErrNotAcquired},
		{"too slow to be of use", func(c *memstore.Client) { c.SetDelay(20 * time.Second) }, ErrNotAcquired},
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

// A holder that wakes late has a keep-alive's answer in its hand; it must not
// take it for a lease that it still holds.
func TestLateAnswerDoesNotBringALeaseBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memstore.New(memstore.Options{})
		p := &pausable{Store: m.NewClient()}
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

func TestCampaignHandsOver(t *testing.T) {
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
			lost := leader
			mu.Unlock()
			clients[lost].SetDown(true)
			time.Sleep(30 * time.Second)
			mu.Lock()
			assert.Assert(t, leader != lost)
			assert.Equal(t, leading, 1)
			mu.Unlock()
			clients[lost].SetDown(false)
		}
		cancel()
		wg.Wait()
		for i := range fencings[1:] {
			assert.Assert(t, fencings[i+1] > fencings[i])
		}
		t.Logf("calls at rest and over 4 hand-overs in 6 min, 3 candidates: %+v", m.Counts())
	})
}
