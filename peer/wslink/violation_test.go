package wslink

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

func mustEncode(t testing.TB, f *frame) []byte {
	t.Helper()
	data, err := encodeFrame(f)
	assert.NilError(t, err)
	return data
}

// connectRaw opens a WebSocket to a transport without TLS and sends raw messages.
func (r *fixture) connectRaw(to domain.Member, messages ...[]byte) *websocket.Conn {
	r.t.Helper()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return r.net.dial(ctx, address) },
	}}
	conn, _, err := websocket.Dial(r.t.Context(), "ws://"+to.Address+Path,
		&websocket.DialOptions{HTTPClient: client, Subprotocols: []string{subprotocol}})
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.CloseNow() })
	for _, message := range messages {
		assert.NilError(r.t, conn.Write(r.t.Context(), websocket.MessageBinary, message))
	}
	return conn
}

func TestProtocolViolationClosesOnlyItsLink(t *testing.T) {
	self := memberOf("c", 1)
	hello := mustEncode(t, &frame{Kind: kindHello, Member: &self})
	same := memberOf("b", 1)
	cases := []struct {
		name     string
		status   websocket.StatusCode
		messages [][]byte
	}{
		{"malformed hello", websocket.StatusPolicyViolation, [][]byte{[]byte("rubbish")}},
		{"request instead of hello", websocket.StatusPolicyViolation, [][]byte{mustEncode(t, &frame{Kind: kindRequest, ID: 1, Method: echoMethod})}},
		{"hello of the receiver itself", websocket.StatusPolicyViolation, [][]byte{mustEncode(t, &frame{Kind: kindHello, Member: &same})}},
		{"malformed frame", websocket.StatusPolicyViolation, [][]byte{hello, {0xff, 0x00}}},
		{"second hello", websocket.StatusPolicyViolation, [][]byte{hello, hello}},
		{"unknown kind", websocket.StatusPolicyViolation, [][]byte{hello, mustEncode(t, &frame{Kind: 99})}},
		{"request without method", websocket.StatusPolicyViolation, [][]byte{hello, mustEncode(t, &frame{Kind: kindRequest, ID: 1})}},
		{"request after close", websocket.StatusPolicyViolation, [][]byte{hello, mustEncode(t, &frame{Kind: kindRequest, ID: 1, Method: holdMethod}),
			mustEncode(t, &frame{Kind: kindClose}), mustEncode(t, &frame{Kind: kindRequest, ID: 2, Method: echoMethod})}},
		{"too large", websocket.StatusMessageTooBig, [][]byte{hello, make([]byte, 5000)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *fixture) {
				withoutTLS := func(o *Options) { o.Credentials = nil; o.MaxFrameBytes = 4000 }
				a, b := r.start(memberOf("a", 1), withoutTLS), r.start(memberOf("b", 1), withoutTLS)
				held := startCall(a, b.Self(), holdMethod)
				for range 3 {
					conn := r.connectRaw(b.Self(), c.messages...)
					err := readToEnd(conn)
					assert.Equal(t, websocket.CloseStatus(err), c.status, "%v", err)
					time.Sleep(violationLogInterval / 4)
				}
				assert.Equal(t, b.metrics.violations.Get(), uint64(3))
				assert.Equal(t, r.log.count("peer link closed"), 1)
				close(r.release)
				assert.NilError(t, <-held)
				assert.Equal(t, len(b.State().Links), 1)
			})
		})
	}
}

func readToEnd(conn *websocket.Conn) error {
	for {
		if _, _, err := conn.Read(context.Background()); err != nil {
			return err
		}
	}
}

func TestUnexpectedRepliesAreDropped(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		b := r.start(memberOf("b", 1), func(o *Options) { o.Credentials = nil })
		self := memberOf("c", 1)
		conn := r.connectRaw(b.Self(), mustEncode(t, &frame{Kind: kindHello, Member: &self}),
			mustEncode(t, &frame{Kind: kindReply, ID: 77}),
			mustEncode(t, &frame{Kind: kindRequest, ID: 5, Method: echoMethod, Payload: []byte{0x61, 'x'}}))
		var buffer bytes.Buffer
		for _, kind := range []frameKind{kindHello, kindReply} {
			f, _, err := readFrame(t.Context(), conn, &buffer)
			assert.NilError(t, err)
			assert.Equal(t, f.Kind, kind)
		}
	})
}

func TestDrainRequiresBothEnds(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		b := r.start(memberOf("b", 1), func(o *Options) { o.Credentials = nil })
		self := memberOf("c", 1)
		conn := r.connectRaw(b.Self(), mustEncode(t, &frame{Kind: kindHello, Member: &self}))
		var buffer bytes.Buffer
		expect := func(kind frameKind) {
			f, _, err := readFrame(t.Context(), conn, &buffer)
			assert.NilError(t, err)
			assert.Equal(t, f.Kind, kind)
		}
		expect(kindHello)
		expect(kindClose) // The idle timeout has passed.
		// A request that was sent before the close frame arrived is still served.
		request := mustEncode(t, &frame{Kind: kindRequest, ID: 1, Method: echoMethod, Payload: []byte{0x61, 'x'}})
		assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, request))
		expect(kindReply)
		// This end never sends a close frame, so the link is ended after drainTimeout.
		assert.Equal(t, len(b.State().Links), 1)
		time.Sleep(drainTimeout + 2*maintenanceInterval)
		assert.Equal(t, len(b.State().Links), 0)
	})
}

func TestWriteTimeoutEndsLink(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		b := r.start(memberOf("b", 1), func(o *Options) { o.Credentials = nil })
		self := memberOf("c", 1)
		r.connectRaw(b.Self(), mustEncode(t, &frame{Kind: kindHello, Member: &self}))
		synctest.Wait()
		for range 2000 {
			assert.NilError(t, b.Send(t.Context(), self, echoMethod, []byte("x")))
		}
		time.Sleep(DefaultWriteTimeout - time.Second)
		assert.Equal(t, len(b.State().Links), 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(b.State().Links), 0)
	})
}

func TestDialsBoundedWhenPeerClosesAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, r *fixture) {
		self := memberOf("b", 1)
		hello := mustEncode(t, &frame{Kind: kindHello, Member: &self})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			conn, err := websocket.Accept(w, q, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
			assert.NilError(t, err)
			_ = conn.Write(context.Background(), websocket.MessageBinary, hello)
			_ = conn.CloseNow()
		})}
		go func() { _ = server.Serve(r.net.listen(self.Address)) }()
		defer server.Close()
		a := r.start(memberOf("a", 1), func(o *Options) { o.Credentials = nil })
		_, err := echo(t.Context(), a, self, "x")
		assert.Assert(t, errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrUnreachable), "%v", err)
		assert.Assert(t, r.net.dials.Load() <= maxLinkAttempts*maxLinkAttempts)
	})
}

func TestAbandonErrorDependsOnWrite(t *testing.T) {
	reason := errors.New("broken")
	queued, written := &pending{}, &pending{}
	assert.Assert(t, written.markWritten())
	assert.ErrorIs(t, queued.abandon(reason), peer.ErrNotSent)
	assert.Assert(t, !queued.markWritten())
	assert.NilError(t, (&link{}).write(outgoing{message: queued}), "an abandoned message is not written")
	assert.ErrorIs(t, queued.abandon(reason), peer.ErrNotSent)
	assert.ErrorIs(t, written.abandon(reason), peer.ErrUnreachable)
}

func TestQueueIsBoundedInBytes(t *testing.T) {
	q := newSendQueue(100)
	assert.NilError(t, q.push(outgoing{data: make([]byte, 200)}))
	assert.ErrorIs(t, q.push(outgoing{data: make([]byte, 1)}), ErrOverload)
	_, ok := q.pop()
	assert.Assert(t, ok)
	for range 4 {
		assert.NilError(t, q.push(outgoing{data: make([]byte, 25)}))
	}
	assert.ErrorIs(t, q.push(outgoing{data: make([]byte, 1)}), ErrOverload)
	q.close()
	assert.ErrorIs(t, q.push(outgoing{}), errDraining)
	assert.Equal(t, q.queuedBytes(), 0)
}

// FuzzDecodeFrame checks that any input either fails with ErrProtocol or decodes to a
// valid frame that survives a round trip through the encoder.
func FuzzDecodeFrame(f *testing.F) {
	self := memberOf("a", 1)
	for _, each := range []*frame{
		{Kind: kindHello, Member: &self},
		{Kind: kindRequest, ID: 1, Method: echoMethod, Payload: []byte("payload"), TimeLeft: 250},
		{Kind: kindReply, ID: 1, Code: codeRemote, Text: "as ordered"},
		{Kind: kindOneWay, Method: "membership.push", Payload: []byte{0xa0}},
		{Kind: kindClose},
	} {
		f.Add(mustEncode(f, each))
	}
	f.Add([]byte("rubbish"))
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Add([]byte{0xa2, 0x01, 0x01, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrProtocol)
			return
		}
		again, err := decodeFrame(mustEncode(t, decoded))
		assert.NilError(t, err)
		assert.Equal(t, again.Kind, decoded.Kind)
		assert.Equal(t, again.ID, decoded.ID)
		assert.Assert(t, bytes.Equal(again.Payload, decoded.Payload))
		assert.Assert(t, decoded.timeLeft() >= 0 && decoded.timeLeft() <= maxTimeLeft)
		_, err = cbor.Marshal(decoded.Member)
		assert.NilError(t, err)
	})
}
