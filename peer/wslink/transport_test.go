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
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
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

func TestCallErrors(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a := r.start(memberOf("a", 1), func(o *Options) { o.MaxFrameBytes = 2000 })
		b := r.start(memberOf("b", 3), nil)
		r.start(memberOf("c", 1), nil)
		cases := []struct {
			name   string
			to     domain.Member
			method peer.Method
			size   int
			err    error
			also   error
			served int32
		}{
			{"any incarnation", memberOf("b", 0), echoMethod, 0, nil, nil, 1},
			{"handler error", b.Self(), echoMethod, -1, peer.ErrRemote, nil, 1},
			{"unknown method", b.Self(), "test.none", 0, peer.ErrUnknownMethod, nil, 0},
			{"unknown method of the caller itself", a.Self(), "test.none", 0, peer.ErrUnknownMethod, nil, 0},
			{"too large", b.Self(), echoMethod, 2000, peer.ErrNotSent, ErrTooLarge, 0},
			{"connection refused", domain.Member{Node: "d", Incarnation: 1, Address: "127.0.0.1:7"}, echoMethod, 0, peer.ErrNotSent, errRefused, 0},
			{"earlier incarnation called", memberOf("b", 2), echoMethod, 0, peer.ErrNotSent, nil, 0},
			{"later incarnation called", memberOf("b", 4), echoMethod, 0, peer.ErrNotSent, nil, 0},
			{"another node answers", domain.Member{Node: "x", Incarnation: 1, Address: memberOf("c", 1).Address}, echoMethod, 0, peer.ErrNotSent, pki.ErrNameMismatch, 0},
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
		_, err := echo(t.Context(), a, memberOf("b", 2), "x")
		assert.Assert(t, errors.As(err, &other))
		assert.DeepEqual(t, other.Found, b.Self())
	})
}

func TestAcceptRejectsCertificateOfAnotherNode(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		b := r.start(memberOf("b", 1), nil)
		bundle, err := r.authority.Bundle("c", time.Now())
		assert.NilError(t, err)
		mismatched := r.start(memberOf("a", 1), func(o *Options) { o.Credentials = pki.NewStatic(bundle) })
		_, err = echo(t.Context(), mismatched, b.Self(), "x")
		assert.ErrorIs(t, err, peer.ErrNotSent)
		assert.Equal(t, r.served.Load(), int32(0))
		assert.Equal(t, r.log.count("does not name the node"), 1)
	})
}

func TestPlainLinksOnLoopbackOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		withoutTLS := func(o *Options) { o.Credentials = nil }
		a, b := r.start(memberOf("a", 1), withoutTLS), r.start(memberOf("b", 1), withoutTLS)
		_, err := echo(t.Context(), a, b.Self(), "x")
		assert.NilError(t, err)
		assert.Equal(t, r.log.count("not encrypted"), 2)
		_, err = echo(t.Context(), a, domain.Member{Node: "x", Address: b.Self().Address}, "x")
		assert.ErrorIs(t, err, ErrIdentity)
		request := httptest.NewRequest(http.MethodGet, Path, nil)
		request.RemoteAddr = "192.0.2.1:5000"
		response := httptest.NewRecorder()
		a.Handler().ServeHTTP(response, request)
		assert.Equal(t, response.Code, http.StatusForbidden)
		remote := memberOf("b", 1)
		remote.Node, remote.Address = "far", "192.0.2.1:80"
		_, err = echo(t.Context(), a, remote, "x")
		assert.ErrorIs(t, err, ErrTLSRequired)
		_, err = New(Options{Self: remote})
		assert.ErrorIs(t, err, ErrTLSRequired)
	})
}

func TestIdleLinkClosesAndOpensAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
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

func TestOutstandingCallKeepsLinkOpen(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
		held := startCall(a, b.Self(), holdMethod)
		time.Sleep(3 * DefaultIdleTimeout)
		close(r.release)
		assert.NilError(t, <-held)
	})
}

func TestOutstandingCallsAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		limitCalls := func(o *Options) { o.MaxOutstanding = 2 }
		a, b := r.start(memberOf("a", 1), limitCalls), r.start(memberOf("b", 1), nil)
		limited := r.start(memberOf("c", 1), limitCalls)
		held := []<-chan error{startCall(a, b.Self(), holdMethod), startCall(a, b.Self(), holdMethod)}
		// The limit of the serving end applies too.
		for range 2 {
			held = append(held, startCall(b, limited.Self(), holdMethod))
		}
		synctest.Wait()
		for from, to := range map[*Transport]*Transport{a: b, b: limited} {
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

func TestCloseWaitsForCalls(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
		out, in := startCall(a, b.Self(), holdMethod), startCall(b, a.Self(), holdMethod)
		synctest.Wait()
		closed := make(chan error, 1)
		go func() { closed <- a.Close(context.Background()) }()
		synctest.Wait()
		dials := r.net.dials.Load()
		_, err := echo(t.Context(), a, b.Self(), "x")
		assert.ErrorIs(t, err, ErrClosed)
		assert.Equal(t, r.net.dials.Load(), dials, "a closing transport must not dial")
		_, err = echo(t.Context(), b, a.Self(), "x")
		assert.ErrorIs(t, err, peer.ErrNotSent)
		close(r.release)
		assert.NilError(t, <-out)
		assert.NilError(t, <-in)
		assert.NilError(t, <-closed)
	})
}

// Guards against the error of a handler that Close has cancelled being sent as its reply.
func TestCloseDeadlineEndsCalls(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
		out, in := startCall(a, b.Self(), holdMethod), startCall(b, a.Self(), holdMethod)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, a.Close(ctx), context.DeadlineExceeded)
		assert.ErrorIs(t, <-out, peer.ErrUnreachable)
		assert.ErrorIs(t, <-in, peer.ErrUnreachable)
	})
}

func TestPingTimeoutEndsLink(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
		held := startCall(a, b.Self(), holdMethod)
		time.Sleep(time.Minute)
		r.net.discardWrites.Store(true)
		start := time.Now()
		err := <-held
		assert.ErrorIs(t, err, peer.ErrUnreachable)
		assert.ErrorIs(t, err, ErrPingTimeout)
		assert.Assert(t, time.Since(start) <= DefaultPingInterval+DefaultPingTimeout+2*maintenanceInterval)
		r.net.discardWrites.Store(false)
	})
}

func TestDialsBackOff(t *testing.T) {
	cases := []struct {
		name string
		// called is the incarnation called. Incarnation 1 runs from the start if running
		// is true, and is started after the failed dials otherwise.
		called  domain.Member
		running bool
	}{
		{"connection refused", memberOf("b", 1), false},
		{"earlier incarnation running", memberOf("b", 2), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *fixture) {
				a := r.start(memberOf("a", 1), nil)
				if c.running {
					r.start(memberOf("b", 1), nil)
					var other *IncarnationMismatchError
					_, err := echo(t.Context(), a, c.called, "x")
					assert.Assert(t, errors.As(err, &other))
				}
				for range 600 {
					_, err := echo(t.Context(), a, c.called, "x")
					assert.ErrorIs(t, err, peer.ErrNotSent)
					time.Sleep(100 * time.Millisecond)
				}
				// The calls last a minute; after the first few dials the backoff is 2.5 to 7.5 s.
				assert.Assert(t, r.net.dials.Load() <= 35, "%d dials", r.net.dials.Load())
				assert.Assert(t, len(a.State().Links) <= 1)
				time.Sleep(2 * DefaultMaxBackoff)
				if !c.running {
					r.start(memberOf("b", 1), nil)
				}
				_, err := echo(t.Context(), a, memberOf("b", 1), "x")
				assert.NilError(t, err)
				time.Sleep(2 * (DefaultIdleTimeout + remoteRetention))
				assert.Equal(t, len(a.allRemotes()), 0)
			})
		})
	}
}

func TestDeadlinePropagates(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		a, b := r.start(memberOf("a", 1), nil), r.start(memberOf("b", 1), nil)
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

func TestReloadedCredentialsKeepOpenLinks(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		bundle, err := r.authority.Bundle("a", time.Now())
		assert.NilError(t, err)
		credentials := &swappableCredentials{bundle: bundle}
		a := r.start(memberOf("a", 1), func(o *Options) { o.Credentials = credentials })
		b, c := r.start(memberOf("b", 1), nil), r.start(memberOf("c", 1), nil)
		_, err = echo(t.Context(), a, b.Self(), "x")
		assert.NilError(t, err)
		untrusted, err := pki.NewAuthority(time.Now())
		assert.NilError(t, err)
		credentials.bundle, err = untrusted.Bundle("a", time.Now())
		assert.NilError(t, err)
		_, err = echo(t.Context(), a, b.Self(), "open link")
		assert.NilError(t, err)
		_, err = echo(t.Context(), a, c.Self(), "x")
		assert.ErrorIs(t, err, peer.ErrNotSent)
	})
}

type swappableCredentials struct{ bundle *pki.Bundle }

func (s *swappableCredentials) Current() *pki.Bundle { return s.bundle }

func TestLargeCallOverTCP(t *testing.T) {
	authority, err := pki.NewAuthority(time.Now())
	assert.NilError(t, err)
	r := &fixture{t: t, authority: authority}
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
