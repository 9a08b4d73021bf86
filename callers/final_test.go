package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testFinalResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// longAgo makes closeUnused take every idle connection for unused.
func longAgo() time.Time { return time.Now().Add(time.Hour) }

func readFinalResponse(t *testing.T, caller net.Conn) {
	t.Helper()
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close)
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a request that crosses the close of its connection and gets no answer, so that its caller can't know that it
// has not run.
func TestRequestThatCrossesTheCloseIsAnsweredAndNotRead(t *testing.T) {
	l := listenForCallers(t)
	l.SetFinalResponse([]byte(testFinalResponse))
	for range 200 {
		caller, server := connect(t, l)
		read := make(chan error, 1)
		go func() {
			_, err := server.Read(make([]byte, 1))
			read <- err
		}()
		assert.Assert(t, !l.closeUnused(longAgo()), "the caller has not closed the connection")
		_, err := io.WriteString(caller, testRequest)
		assert.NilError(t, err)
		readFinalResponse(t, caller)
		assert.NilError(t, caller.Close())
		assert.ErrorIs(t, <-read, io.EOF)
		assert.NilError(t, server.Close())
		assert.Assert(t, l.closeUnused(longAgo()))
	}
}

func TestCallerThatKeepsAnEndedConnectionIsClosed(t *testing.T) {
	l := listenForCallers(t)
	l.SetFinalResponse([]byte(testFinalResponse))
	caller, server := connect(t, l)
	assert.Assert(t, !l.closeUnused(longAgo()))
	server.finalSentAt = time.Now().Add(-finalReadTimeout)
	assert.Assert(t, l.closeUnused(longAgo()))
	_, err := io.WriteString(caller, testRequest)
	assert.NilError(t, err)
	readFinalResponse(t, caller)
}

// Guards against a final response to a caller whose request has arrived: it would be told that the request has not run.
func TestConnectionWithUnreadRequestGetsNoFinalResponse(t *testing.T) {
	l := listenForCallers(t)
	l.SetFinalResponse([]byte(testFinalResponse))
	caller, server := connect(t, l)
	_, err := io.WriteString(caller, "x")
	assert.NilError(t, err)
	assert.Assert(t, !l.closeUnused(longAgo()))
	assert.Assert(t, server.finalSentAt.IsZero())
	n, err := server.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}

// Guards against requests that get no answer because a starved process exits before it has read them.
func TestUnreadRequestsAreAnsweredAtExit(t *testing.T) {
	l := listenForCallers(t)
	l.SetFinalResponse([]byte(testFinalResponse))
	accepted, server := connect(t, l)
	begun, beingRead := connect(t, l)
	waiting, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	for _, caller := range []net.Conn{accepted, begun, waiting} {
		_, err := io.WriteString(caller, testRequest)
		assert.NilError(t, err)
	}
	_, err = beingRead.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, l.StopAccepting())
	assert.Assert(t, !l.closeUnused(longAgo()))
	assert.Equal(t, l.EndUnread(), 2)
	readFinalResponse(t, accepted)
	readFinalResponse(t, waiting)
	assert.NilError(t, accepted.Close())
	_, err = server.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the request must not be read")
	n, err := beingRead.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}
