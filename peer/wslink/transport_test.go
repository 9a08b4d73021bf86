package wslink

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/pki"
)

func TestCallsBothWaysOnOneLink(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		reply, err := echo(t.Context(), a, b.Self(), "x")
		assert.NilError(t, err)
		assert.Equal(t, reply, "a/1 x")
		reply, err = echo(t.Context(), b, a.Self(), "y")
		assert.NilError(t, err)
		assert.Equal(t, reply, "b/1 y")
		assert.Equal(t, r.net.dials.Load(), int32(1))
		assert.Equal(t, len(a.State().Links), 1)
		reply, err = echo(t.Context(), a, a.Self(), "self")
		assert.NilError(t, err)
		assert.Equal(t, reply, "a/1 self")
		assert.NilError(t, peer.Send(t.Context(), a, b.Self(), echoMethod, "z"))
		synctest.Wait()
		assert.Equal(t, r.served.Load(), int32(4))
	})
}

func TestErrorsReachTheCaller(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a := r.start(life("a", 1), func(o *Options) { o.MaxFrameBytes = 2000 })
		b := r.start(life("b", 3), nil)
		r.start(life("c", 1), nil)
		cases := []struct {
			name   string
			to     domain.Member
			method peer.Method
			size   int
			err    error
			also   error
			served int32
		}{
			{"any life", life("b", 0), echoMethod, 0, nil, nil, 1},
			{"handler's error", b.Self(), echoMethod, -1, peer.ErrRemote, nil, 1},
			{"unknown method", b.Self(), "test.none", 0, peer.ErrUnknownMethod, nil, 0},
			{"unknown method here", a.Self(), "test.none", 0, peer.ErrUnknownMethod, nil, 0},
			{"too large", b.Self(), echoMethod, 2000, peer.ErrNotSent, ErrTooLarge, 0},
			{"nobody listens", domain.Member{Node: "d", Incarnation: 1, Address: "127.0.0.1:7"}, echoMethod, 0, peer.ErrNotSent, errRefused, 0},
			{"earlier life called", life("b", 2), echoMethod, 0, peer.ErrNotSent, nil, 0},
			{"later life called", life("b", 4), echoMethod, 0, peer.ErrNotSent, nil, 0},
			{"another node answers", domain.Member{Node: "x", Incarnation: 1, Address: life("c", 1).Address}, echoMethod, 0, peer.ErrNotSent, pki.ErrNameMismatch, 0},
		}
		for _, c := range cases {
			text := strings.Repeat("x", max(c.size, 0))
			if c.size < 0 {
				text = "fail"
			}
			r.served.Store(0)
			_, err := peer.Call[string, string](t.Context(), a, c.to, c.method, text)
			assert.ErrorIs(t, err, c.err, c.name)
			if c.also != nil {
				assert.ErrorIs(t, err, c.also, c.name)
			}
			assert.Equal(t, r.served.Load(), c.served, c.name)
		}
		var other *IncarnationMismatchError
		_, err := echo(t.Context(), a, life("b", 2), "x")
		assert.Assert(t, errors.As(err, &other))
		assert.DeepEqual(t, other.Found, b.Self())
	})
}

func TestCallerMustBeWhoItSays(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		b := r.start(life("b", 1), nil)
		bundle, err := r.authority.Bundle("c", time.Now())
		assert.NilError(t, err)
		liar := r.start(life("a", 1), func(o *Options) { o.Credentials = pki.NewStatic(bundle) })
		_, err = echo(t.Context(), liar, b.Self(), "x")
		assert.ErrorIs(t, err, peer.ErrNotSent)
		assert.Equal(t, r.served.Load(), int32(0))
		assert.Equal(t, r.log.count("does not name the node"), 1)
	})
}

func TestPlainLinksOnLoopbackOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		plain := func(o *Options) { o.Credentials = nil }
		a, b := r.start(life("a", 1), plain), r.start(life("b", 1), plain)
		_, err := echo(t.Context(), a, b.Self(), "x")
		assert.NilError(t, err)
		assert.Equal(t, r.log.count("not encrypted"), 2)
		_, err = echo(t.Context(), a, domain.Member{Node: "x", Address: b.Self().Address}, "x")
		assert.ErrorIs(t, err, ErrIdentity)
		stranger := httptest.NewRequest(http.MethodGet, Path, nil)
		stranger.RemoteAddr = "192.0.2.1:5000"
		refused := httptest.NewRecorder()
		a.Handler().ServeHTTP(refused, stranger)
		assert.Equal(t, refused.Code, http.StatusForbidden)
		far := life("b", 1)
		far.Node, far.Address = "far", "192.0.2.1:80"
		_, err = echo(t.Context(), a, far, "x")
		assert.ErrorIs(t, err, ErrTLSRequired)
		_, err = New(Options{Self: far})
		assert.ErrorIs(t, err, ErrTLSRequired)
	})
}

func TestIdleLinkClosesAndOpensAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		_, err := echo(t.Context(), a, b.Self(), "x")
		assert.NilError(t, err)
		time.Sleep(DefaultIdleTimeout - 2*time.Second)
		assert.Equal(t, len(a.State().Links), 1)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(a.State().Links)+len(b.State().Links), 0)
		_, err = echo(t.Context(), b, a.Self(), "x")
		assert.NilError(t, err)
		assert.Equal(t, r.net.dials.Load(), int32(2))
	})
}

func TestHeldCallKeepsTheLinkThroughAnIdleClose(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		held := calling(a, b.Self(), holdMethod)
		time.Sleep(3 * DefaultIdleTimeout)
		close(r.release)
		assert.NilError(t, <-held)
	})
}

func TestOutstandingCallsAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		few := func(o *Options) { o.MaxOutstanding = 2 }
		a, b := r.start(life("a", 1), few), r.start(life("b", 1), nil)
		strict := r.start(life("c", 1), few)
		held := []<-chan error{calling(a, b.Self(), holdMethod), calling(a, b.Self(), holdMethod)}
		// The bound of the serving end holds too.
		for range 2 {
			held = append(held, calling(b, strict.Self(), holdMethod))
		}
		synctest.Wait()
		for from, to := range map[*Transport]*Transport{a: b, b: strict} {
			_, err := echo(t.Context(), from, to.Self(), "x")
			assert.ErrorIs(t, err, peer.ErrNotSent)
		}
		assert.Equal(t, r.served.Load(), int32(4))
		close(r.release)
		for _, each := range held {
			assert.NilError(t, <-each)
		}
	})
}

func TestCloseLetsCallsFinish(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		out, in := calling(a, b.Self(), holdMethod), calling(b, a.Self(), holdMethod)
		synctest.Wait()
		closed := make(chan error, 1)
		go func() { closed <- a.Close(context.Background()) }()
		synctest.Wait()
		dials := r.net.dials.Load()
		_, err := echo(t.Context(), a, b.Self(), "x")
		assert.ErrorIs(t, err, ErrClosed)
		assert.Equal(t, r.net.dials.Load(), dials, "a closing transport does not dial")
		_, err = echo(t.Context(), b, a.Self(), "x")
		assert.ErrorIs(t, err, peer.ErrNotSent)
		close(r.release)
		assert.NilError(t, <-out)
		assert.NilError(t, <-in)
		assert.NilError(t, <-closed)
	})
}

func TestCloseAtItsDeadlineCutsOff(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		out, in := calling(a, b.Self(), holdMethod), calling(b, a.Self(), holdMethod)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, a.Close(ctx), context.DeadlineExceeded)
		assert.ErrorIs(t, <-out, peer.ErrUnreachable)
		assert.ErrorIs(t, <-in, peer.ErrUnreachable)
	})
}

func TestSilentLinkIsGivenUp(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		held := calling(a, b.Self(), holdMethod)
		time.Sleep(time.Minute)
		r.net.frozen.Store(true)
		start := time.Now()
		err := <-held
		assert.ErrorIs(t, err, peer.ErrUnreachable)
		assert.ErrorIs(t, err, ErrPingTimeout)
		assert.Assert(t, time.Since(start) <= DefaultPingInterval+DefaultPingTimeout+2*housekeepingInterval)
		r.net.frozen.Store(false)
	})
}

func TestDialsBackOff(t *testing.T) {
	cases := []struct {
		name string
		// called is the life called; one of incarnation 1 starts later, or is there.
		called domain.Member
		there  bool
	}{
		{"nobody listens", life("b", 1), false},
		{"an earlier life listens", life("b", 2), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *rig) {
				a := r.start(life("a", 1), nil)
				if c.there {
					r.start(life("b", 1), nil)
					var other *IncarnationMismatchError
					_, err := echo(t.Context(), a, c.called, "x")
					assert.Assert(t, errors.As(err, &other))
				}
				for range 600 {
					_, err := echo(t.Context(), a, c.called, "x")
					assert.ErrorIs(t, err, peer.ErrNotSent)
					time.Sleep(100 * time.Millisecond)
				}
				// A minute at 2.5 to 7.5 s each, after some quick ones.
				assert.Assert(t, r.net.dials.Load() <= 35, "%d dials", r.net.dials.Load())
				assert.Assert(t, len(a.State().Links) <= 1)
				time.Sleep(2 * DefaultMaxBackoff)
				if !c.there {
					r.start(life("b", 1), nil)
				}
				_, err := echo(t.Context(), a, life("b", 1), "x")
				assert.NilError(t, err)
				time.Sleep(2 * (DefaultIdleTimeout + forgetAfter))
				assert.Equal(t, len(a.allRemotes()), 0)
			})
		})
	}
}

func TestDeadlineTravels(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		a, b := r.start(life("a", 1), nil), r.start(life("b", 1), nil)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		start := time.Now()
		_, err := a.Call(ctx, b.Self(), holdMethod, nil)
		assert.Assert(t, errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrRemote), "%v", err)
		synctest.Wait()
		assert.Equal(t, time.Since(start), 7*time.Second)
		assert.Equal(t, b.State().Links[0].Serving, 0)
	})
}

func TestReloadedCredentialsLeaveLinksAlone(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		bundle, err := r.authority.Bundle("a", time.Now())
		assert.NilError(t, err)
		credentials := &swappable{bundle: bundle}
		a := r.start(life("a", 1), func(o *Options) { o.Credentials = credentials })
		b, c := r.start(life("b", 1), nil), r.start(life("c", 1), nil)
		_, err = echo(t.Context(), a, b.Self(), "x")
		assert.NilError(t, err)
		stranger, err := pki.NewAuthority(time.Now())
		assert.NilError(t, err)
		credentials.bundle, err = stranger.Bundle("a", time.Now())
		assert.NilError(t, err)
		_, err = echo(t.Context(), a, b.Self(), "still linked")
		assert.NilError(t, err)
		_, err = echo(t.Context(), a, c.Self(), "x")
		assert.ErrorIs(t, err, peer.ErrNotSent)
	})
}

type swappable struct{ bundle *pki.Bundle }

func (s *swappable) Current() *pki.Bundle { return s.bundle }

func TestOverRealSockets(t *testing.T) {
	authority, err := pki.NewAuthority(time.Now())
	assert.NilError(t, err)
	r := &rig{t: t, authority: authority}
	var transports []*Transport
	for _, node := range []domain.NodeID{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		bundle, err := authority.Bundle(node, time.Now())
		assert.NilError(t, err)
		self := domain.Member{Node: node, Incarnation: 1, Address: listener.Addr().String()}
		tr, err := New(Options{Self: self, Credentials: pki.NewStatic(bundle)})
		assert.NilError(t, err)
		peer.Handle(tr, echoMethod, r.echo)
		r.serve(tr, listener)
		transports = append(transports, tr)
	}
	reply, err := echo(t.Context(), transports[0], transports[1].Self(), strings.Repeat("x", 1<<20))
	assert.NilError(t, err)
	assert.Equal(t, len(reply), 1<<20+len("a/1 "))
	assert.NilError(t, transports[0].Close(t.Context()))
}
