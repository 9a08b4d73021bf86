package wslink

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const pollMethod peer.Method = "test.poll"

// poll holds a call like a long poll: it returns an empty reply without an error when its context ends.
func (r *fixture) poll(ctx context.Context, _ domain.Member, _ []byte) ([]byte, error) {
	r.served.Add(1)
	<-ctx.Done()
	return nil, nil
}

// Guards against replies that a handler makes only because Close cancelled it: their callers took an empty reply or an error
// for the peer's answer, although nobody knows what became of the request.
func TestCloseSendsNoRepliesOfCancelledHandlers(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		const callers = 24
		closing := r.start(memberOf("a", 1), nil)
		closing.Handle(pollMethod, r.poll)
		var calls []<-chan error
		for i := range callers {
			node := domain.NodeID(fmt.Sprint("caller-", i))
			caller := r.start(domain.Member{Node: node, Incarnation: 1, Address: fmt.Sprint("127.0.0.1:", 100+i)}, nil)
			calls = append(calls, startCall(caller, closing.Self(), pollMethod))
		}
		synctest.Wait()
		assert.Equal(t, r.served.Load(), int32(callers))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, closing.Close(ctx), context.DeadlineExceeded)
		for _, call := range calls {
			assert.ErrorIs(t, <-call, peer.ErrUnreachable)
		}
	})
}

// Guards against a request that is queued behind the close frame: the remote end took it for a protocol violation and cut off
// the calls in progress on the link.
func TestRequestRegisteredBeforeCloseIsNotSentAfterIt(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
		held := startCall(a, b.Self(), holdMethod)
		synctest.Wait()
		l := a.links()[0]
		late, err := l.register()
		assert.NilError(t, err)
		l.drain()
		request := &frame{Kind: kindRequest, ID: late.id, Method: echoMethod}
		assert.ErrorIs(t, l.enqueue(request, late), errDraining)
		assert.ErrorIs(t, l.enqueue(&frame{Kind: kindOneWay, Method: echoMethod}, &pending{}), errDraining)
		l.unregister(late)
		close(r.release)
		assert.NilError(t, <-held)
		synctest.Wait()
		assert.Equal(t, len(a.State().Links)+len(b.State().Links), 0)
		assert.Equal(t, b.metrics.violations.Get(), uint64(0))
	})
}

// Guards against the same failure from outside: calls made while both ends close end with a reply or were not sent.
func TestCallsDuringCloseAreRepliedToOrNotSent(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
		held := startCall(a, b.Self(), holdMethod)
		synctest.Wait()
		const callers = 64
		failures := make(chan error, callers)
		for i := range callers {
			from, to := a, b
			if i%2 == 0 {
				from, to = b, a
			}
			go func() {
				var err error
				for err == nil {
					_, err = echo(t.Context(), from, to.Self(), "x")
				}
				failures <- err
			}()
		}
		closed := make(chan error, 2)
		for _, transport := range []*Transport{a, b} {
			go func() { closed <- transport.Close(context.Background()) }()
		}
		for range callers {
			assert.ErrorIs(t, <-failures, peer.ErrNotSent)
		}
		close(r.release)
		assert.NilError(t, <-held)
		assert.NilError(t, <-closed)
		assert.NilError(t, <-closed)
	})
}

// Guards against a close frame that finds the queue at its limit: the link was ended at once, with the calls in progress.
func TestCloseIsQueuedBeyondTheLimit(t *testing.T) {
	q := newSendQueue(10)
	assert.NilError(t, q.push(outgoing{data: make([]byte, 10)}))
	assert.ErrorIs(t, q.push(outgoing{data: make([]byte, 1)}), ErrOverload)
	assert.NilError(t, q.push(outgoing{data: make([]byte, 1), closesRequests: true}))
	assert.NilError(t, q.push(outgoing{closeMarker: true}))
}
