package peertest

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const echoMethod peer.Method = "test.echo"

// fixture is a network of two nodes. Node b serves echoMethod and counts the calls.
type fixture struct {
	network *Network
	a, b    *Node
	served  atomic.Int32
}

func member(node domain.NodeID, incarnation domain.Incarnation) domain.Member {
	return domain.Member{Node: node, Incarnation: incarnation, DataCentre: "palermo"}
}

// run runs f in a synctest bubble and then closes the network.
func run(t *testing.T, f func(t *testing.T, x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{network: NewNetwork()}
		defer x.network.Close()
		x.a = x.network.Node(member("a", 1))
		x.b = x.network.Node(member("b", 1))
		peer.Handle(x.b, echoMethod, x.echo)
		f(t, x)
	})
}

func (x *fixture) echo(_ context.Context, from domain.Member, text string) (string, error) {
	x.served.Add(1)
	if text == "fail" {
		return "", errors.New("requested failure")
	}
	return string(from.Node) + " " + text, nil
}

// call makes an echo call from a to b with a timeout.
func (x *fixture) call(text string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return peer.Call[string, string](ctx, x.a, x.b.Self(), echoMethod, text)
}

func TestCallRepliesAndErrors(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		reply, err := x.call("hello", time.Second)
		assert.NilError(t, err)
		assert.Equal(t, reply, "a hello")
		_, err = x.call("fail", time.Second)
		assert.ErrorIs(t, err, peer.ErrRemote)
		_, err = x.a.Call(t.Context(), x.b.Self(), "test.none", nil)
		assert.ErrorIs(t, err, peer.ErrUnknownMethod)
		_, err = x.a.Call(t.Context(), member("b", 7), echoMethod, nil)
		assert.ErrorIs(t, err, peer.ErrNotSent)
		assert.Equal(t, x.network.Counts("a")[echoMethod], Count{Messages: 3, Bytes: 11})
	})
}

func TestLostMessages(t *testing.T) {
	drop := func(reply bool) func(x *fixture) {
		return func(x *fixture) {
			x.network.Intercept(func(_, _ domain.NodeID, _ peer.Method, r bool) Action { return Action{Drop: r == reply} })
		}
	}
	cases := []struct {
		name   string
		fault  func(x *fixture)
		served int32
		err    error
	}{
		{"cut", func(x *fixture) { x.network.Cut("a", "b") }, 0, peer.ErrUnreachable},
		{"request cut", func(x *fixture) { x.network.CutOneWay("a", "b") }, 0, peer.ErrUnreachable},
		{"reply cut", func(x *fixture) { x.network.CutOneWay("b", "a") }, 1, peer.ErrUnreachable},
		{"partition", func(x *fixture) { x.network.Partition([]domain.NodeID{"a"}, []domain.NodeID{"b"}) }, 0, peer.ErrUnreachable},
		{"request dropped", drop(false), 0, peer.ErrUnreachable},
		{"reply dropped", drop(true), 1, peer.ErrUnreachable},
		{"next request dropped", func(x *fixture) { x.network.DropNext("a", "b", echoMethod, 1) }, 0, peer.ErrUnreachable},
		{"next reply dropped", func(x *fixture) { x.network.DropNextReplies("b", "a", echoMethod, 1) }, 1, peer.ErrUnreachable},
		{"target crashed", func(x *fixture) { x.network.Crash("b") }, 0, peer.ErrUnreachable},
		{"caller crashed", func(x *fixture) { x.network.Crash("a") }, 0, peer.ErrNotSent},
		{"healed", func(x *fixture) { x.network.Cut("a", "b"); x.network.Heal("b", "a") }, 1, nil},
		{"duplicate", func(x *fixture) {
			x.network.Intercept(func(_, _ domain.NodeID, _ peer.Method, _ bool) Action { return Action{Duplicate: true} })
		}, 2, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, x *fixture) {
				c.fault(x)
				start := time.Now()
				_, err := peer.Call[string, string](t.Context(), x.a, x.b.Self(), echoMethod, "x")
				assert.ErrorIs(t, err, c.err)
				synctest.Wait()
				assert.Equal(t, x.served.Load(), c.served)
				if errors.Is(c.err, peer.ErrUnreachable) {
					assert.Equal(t, time.Since(start), DefaultTimeout)
				}
			})
		})
	}
}

func TestDelayAppliesBothWays(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.network.SetDelay(func(from, _ domain.Member) time.Duration {
			if from.Node == "a" {
				return time.Second
			}
			return 2 * time.Second
		})
		start := time.Now()
		_, err := x.call("x", time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 3*time.Second)
	})
}

func TestPausedNodeServesAfterResume(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.network.Pause("b")
		_, err := x.call("x", time.Second)
		assert.ErrorIs(t, err, peer.ErrUnreachable)
		assert.Equal(t, x.served.Load(), int32(0))
		x.network.Resume("b")
		synctest.Wait()
		assert.Equal(t, x.served.Load(), int32(1))
	})
}

func TestPausedCallerReturnsAfterResume(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.network.SetDelay(func(_, _ domain.Member) time.Duration { return time.Second })
		time.AfterFunc(time.Second/2, func() { x.network.Pause("a") })
		time.AfterFunc(time.Minute, func() { x.network.Resume("a") })
		start := time.Now()
		_, err := x.call("x", 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Minute)
	})
}

func TestCrashCancelsHandlersAndLaterIncarnationServes(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.b.Handle("test.wait", func(ctx context.Context, _ domain.Member, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		time.AfterFunc(time.Second, func() { x.network.Crash("b") })
		_, err := x.a.Call(t.Context(), x.b.Self(), "test.wait", nil)
		assert.ErrorIs(t, err, peer.ErrUnreachable)
		later := x.network.Node(member("b", 2))
		peer.Handle(later, echoMethod, x.echo)
		_, err = x.call("x", time.Second)
		assert.ErrorIs(t, err, peer.ErrNotSent)
		_, err = peer.Call[string, string](t.Context(), x.a, member("b", 0), echoMethod, "x")
		assert.NilError(t, err)
	})
}

func TestHandlerGetsTheCallersDeadline(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		var left time.Duration
		x.b.Handle("test.deadline", func(ctx context.Context, _ domain.Member, _ []byte) ([]byte, error) {
			deadline, _ := ctx.Deadline()
			left = time.Until(deadline)
			return nil, nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := x.a.Call(ctx, x.b.Self(), "test.deadline", nil)
		assert.NilError(t, err)
		assert.Equal(t, left, 5*time.Second)
	})
}

func TestSendDoesNotWait(t *testing.T) {
	run(t, func(t *testing.T, x *fixture) {
		x.network.SetDelay(func(_, _ domain.Member) time.Duration { return time.Second })
		assert.NilError(t, peer.Send(t.Context(), x.a, x.b.Self(), echoMethod, "x"))
		assert.Equal(t, x.served.Load(), int32(0))
		time.Sleep(2 * time.Second)
		assert.Equal(t, x.served.Load(), int32(1))
	})
}
