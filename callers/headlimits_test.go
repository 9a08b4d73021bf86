package callers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func testRefusal(status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

var testRefusals = HeadRefusals{
	TooLong: testRefusal(http.StatusRequestHeaderFieldsTooLarge), NoRoom: testRefusal(http.StatusServiceUnavailable),
	TooSlow: testRefusal(http.StatusRequestTimeout),
}

const testMaxHead = 2 << 10

// serveLimited serves with limits for heads. The handler answers 200 and waits for release if the path is /wait.
func serveLimited(t *testing.T, limit int, budget int64) (l *Listener, release chan struct{}) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l = NewListener(raw, limit)
	l.SetFinalResponse([]byte(testFinalResponse))
	l.SetHeadLimits(HeadLimits{
		Budget: NewHeadBudget(budget), MaxBytes: func() int { return testMaxHead }, Timeout: func() time.Duration { return time.Second },
		Refusals: testRefusals,
	})
	release = make(chan struct{})
	server := &http.Server{
		ConnState: TrackState, ConnContext: ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !Admitted(r.Context()) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if r.URL.Path == "/wait" {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				<-release
			}
		}),
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, release
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	l, _ := serveLimited(t, 0, 1<<20)
	start, end := "GET / HTTP/1.1\r\nHost: h\r\na: ", "\r\n\r\n"
	inside := dial(t, l)
	send(t, inside, start+strings.Repeat("x", testMaxHead-len(start+end))+end)
	assert.Equal(t, responseStatus(t, inside), http.StatusOK)
	over := dial(t, l)
	send(t, over, start+strings.Repeat("x", testMaxHead+headMargin))
	assert.Equal(t, responseStatus(t, over), http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against requests that hold memory without a bound, and against room that is not given back.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	const requests = 3
	l, release := serveLimited(t, 0, requests*(requestCost+2<<10))
	wait := "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
	var waiting []net.Conn
	for range requests {
		conn := dial(t, l)
		send(t, conn, wait)
		assert.Equal(t, responseStatus(t, conn), http.StatusOK)
		waiting = append(waiting, conn)
	}
	refused := dial(t, l)
	send(t, refused, "GET /")
	assert.Equal(t, responseStatus(t, refused), http.StatusServiceUnavailable)
	close(release)
	for _, conn := range waiting {
		assert.NilError(t, conn.Close())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.heads.Budget.Held() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes held", l.heads.Budget.Held())
	})
	served := dial(t, l)
	send(t, served, testRequest)
	assert.Equal(t, responseStatus(t, served), http.StatusOK)
	assert.Equal(t, l.TakeRefusals(), Refusals{NoRoom: 1})
}

// Guards against the start of a head that arrives with the request before it and is not counted.
func TestHeadThatArrivesWithTheRequestBeforeItIsCounted(t *testing.T) {
	l, _ := serveLimited(t, 0, 1<<20)
	conn := dial(t, l)
	lines := strings.Repeat("a:\n", 300)
	send(t, conn, testRequest+"GET / HTTP/1.1\r\n"+lines)
	assert.Equal(t, responseStatus(t, conn), http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.heads.Budget.Held() >= 300*headLineCost {
			return poll.Success()
		}
		return poll.Continue("%d bytes held", l.heads.Budget.Held())
	})
	assert.NilError(t, conn.Close())
}

func TestSlowHeadIsRefused(t *testing.T) {
	l, _ := serveLimited(t, 0, 1<<20)
	slow, idle := dial(t, l), dial(t, l)
	send(t, slow, "GET / HT")
	send(t, idle, testRequest)
	assert.Equal(t, responseStatus(t, idle), http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.CloseSlowHeads(time.Hour)
		if refused := l.TakeRefusals(); refused.Slow > 0 {
			assert.Equal(t, refused, Refusals{Slow: 1})
			return poll.Success()
		}
		return poll.Continue("nothing refused")
	})
	assert.Equal(t, responseStatus(t, slow), http.StatusRequestTimeout)
	send(t, idle, testRequest)
	assert.Equal(t, responseStatus(t, idle), http.StatusOK)
}
