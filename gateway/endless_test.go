package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
	"hawthornrill.example/hawthornrill/routetable"
)

// endlessAnswer is a response that goes on until its connection is closed.
type endlessAnswer struct{ begin, repeated string }

const (
	wholeHead  = "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Id: 1\r\n"
	streamHead = wholeHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	eventChunk = "10\r\nid: 1\ndata: 11\n\n\r\n"
)

// endlessHeads, endlessBodies and endlessStreams are answers to any call, to plain calls and to streams.
var (
	endlessHeads = map[string]endlessAnswer{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header field":      {wholeHead + "X-Long: ", "x"},
		"header fields":     {wholeHead, "X-More: y\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no response":       {"", "\x00garbage"},
	}
	endlessBodies = map[string]endlessAnswer{
		"chunks":          {wholeHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
		"one chunk":       {wholeHead + "Transfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "abcde"},
		"until the close": {wholeHead + "\r\n", "abcde"},
		"absurd length":   {wholeHead + "Content-Length: 9000000000000000\r\n\r\n", "abcde"},
		"chunk extension": {wholeHead + "Transfer-Encoding: chunked\r\n\r\n1;e=", "x"},
		"trailer":         {wholeHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x"},
	}
	endlessStreams = map[string]endlessAnswer{
		"line":        {streamHead + "7fffffffffff\r\ndata: ", "x"},
		"event":       {streamHead, "8\r\ndata: x\n\r\n"},
		"comments":    {streamHead, "5\r\n: x\n\n\r\n"},
		"blank lines": {streamHead, "1\r\n\n\r\n"},
	}
)

// endless are endpoints that give endless answers.
type endless struct {
	answer endlessAnswer
	// open is the number of such answers in progress. peak is the largest heap seen by them, in bytes.
	open, peak atomic.Int64
}

func (e *endless) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer raw.Close()
	e.open.Add(1)
	defer e.open.Add(-1)
	text := e.answer.begin
	repeated := strings.Repeat(e.answer.repeated, max(1, 32<<10/len(e.answer.repeated)))
	for {
		if _, err := io.WriteString(raw, text); err != nil {
			return
		}
		text = repeated
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		for peak := e.peak.Load(); int64(stats.HeapAlloc) > peak && !e.peak.CompareAndSwap(peak, int64(stats.HeapAlloc)); peak = e.peak.Load() {
		}
	}
}

// callWithin calls and fails if there is no answer within the time.
func (f *fixture) callWithin(limit time.Duration) result {
	f.t.Helper()
	answers := make(chan result, 1)
	go func() { answers <- f.call(nil) }()
	select {
	case got := <-answers:
		return got
	case <-time.After(limit):
		f.t.Error("the call goes on without end")
		return result{}
	}
}

// endlessLimit is after how long a call counts as going on without end. The route's timeout is a minute.
const endlessLimit = 10 * time.Second

func whole(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "yes")
	_, _ = io.WriteString(w, "whole")
}

// Guards against answers without end: the request must be repeated elsewhere if it may be, and the slot and the connection be given back.
func TestEndlessAnswerIsRepeatedElsewhere(t *testing.T) {
	for kind, answers := range map[string]map[string]endlessAnswer{"head": endlessHeads, "body": endlessBodies, "stream": endlessStreams} {
		for name, answer := range answers {
			t.Run(kind+", "+name, func(t *testing.T) {
				edit, sound, want := repeatablePlain, http.HandlerFunc(whole), "whole"
				if kind == "stream" {
					edit, sound, want = nil, streaming, threeEvents
				}
				e := &endless{answer: answer}
				first := atomic.Bool{}
				serve := func(w http.ResponseWriter, r *http.Request) {
					if first.CompareAndSwap(false, true) {
						e.serve(w, r)
						return
					}
					sound(w, r)
				}
				f := newFixture(t, edit, serve, serve)
				got := f.callWithin(endlessLimit)
				assert.NilError(t, got.Err)
				assert.Equal(t, got.Status, http.StatusOK)
				assert.Equal(t, got.Body, want)
				assert.Equal(t, f.dispatches.Load(), int64(2))
				f.await(func() bool { return e.open.Load() == 0 && f.gateway.Active() == 0 })
				assert.Equal(t, f.gateway.answers.Held(), int64(0))
			})
		}
	}
}

// Guards against a call that may not be repeated waiting for its timeout, or getting a part of the answer as if it were whole.
func TestEndlessAnswerToCallThatMayNotBeRepeated(t *testing.T) {
	for kind, answers := range map[string]map[string]endlessAnswer{"head": endlessHeads, "body": endlessBodies, "stream": endlessStreams} {
		for name, answer := range answers {
			t.Run(kind+", "+name, func(t *testing.T) {
				edit := func(r *routetable.Route) { r.Kind, r.Resumable, r.MaxEndpoints = routetable.NonIdempotent, false, 2 }
				if kind == "stream" {
					edit = func(r *routetable.Route) { r.Resumable = false }
				}
				e := &endless{answer: answer}
				f := newFixture(t, edit, e.serve, e.serve)
				got := f.callWithin(endlessLimit)
				assert.NilError(t, got.Err)
				assert.Equal(t, got.Status, http.StatusBadGateway, "it may have run")
				assert.Equal(t, f.dispatches.Load(), int64(1))
				f.await(func() bool { return e.open.Load() == 0 && f.gateway.Active() == 0 })
			})
		}
	}
}

const (
	// manyEndless is the number of endless answers at once, endlessEndpoints that of the endpoints that give them.
	manyEndless      = 60
	endlessEndpoints = 20
	// maxHeapGrowth is a third of the smallest node's memory.
	maxHeapGrowth = 40 << 20
)

// Guards against endless answers taking a node over its memory.
func TestManyEndlessAnswersStayWithinMemory(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for kind, answer := range map[string]endlessAnswer{"body": endlessBodies["chunks"], "stream": endlessStreams["line"]} {
		t.Run(kind, func(t *testing.T) {
			edit := func(r *routetable.Route) { r.Kind, r.Resumable, r.MaxEndpoints = routetable.NonIdempotent, false, 1 }
			if kind == "stream" {
				edit = oneEndpointEach
			}
			e := &endless{answer: answer}
			f := newFixture(t, edit)
			for i := range endlessEndpoints {
				f.addEndpoint(fmt.Sprint("endless", i), e.serve)
			}
			f.start()
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for range manyEndless {
				calls.Go(func() {
					got := f.call(nil)
					assert.Check(t, got.Err == nil && got.Status == http.StatusBadGateway, "%d %v", got.Status, got.Err)
				})
			}
			calls.Wait()
			growth := e.peak.Load() - int64(before.HeapAlloc)
			t.Logf("the heap grew by %.1f MB", float64(growth)/(1<<20))
			assert.Assert(t, growth < maxHeapGrowth)
			assert.Equal(t, f.gateway.answers.Held(), int64(0))
		})
	}
}

// manyLines is a head of short lines up to its limit in bytes.
func manyLines() string {
	var b strings.Builder
	b.WriteString(wholeHead + "Content-Length: 100\r\n")
	for i := 0; b.Len() < 63<<10; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String() + "\r\n"
}

// Guards against heads that take many times their bytes once they are parsed, while the bodies are awaited.
func TestManyHeadsOfManyLinesStayWithinMemory(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	head := manyLines()
	var held sync.WaitGroup
	held.Add(manyEndless)
	f := newFixture(t, route(routetable.NonIdempotent, 1))
	release := make(chan struct{})
	for i := range endlessEndpoints {
		f.addRaw(fmt.Sprint("lines", i), responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(connection, head)
			held.Done()
			<-release
			_ = connection.Close()
		}).Address)
	}
	runtime.GC()
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)
	var calls sync.WaitGroup
	for range manyEndless {
		calls.Go(func() { assert.Check(t, f.call(nil).Status == http.StatusBadGateway) })
	}
	held.Wait()
	time.Sleep(100 * time.Millisecond) // the heads have been sent, not read
	runtime.GC()
	runtime.ReadMemStats(&during)
	close(release)
	calls.Wait()
	growth := int64(during.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("the heap grew by %.1f MB", float64(growth)/(1<<20))
	assert.Assert(t, growth < maxHeapGrowth)
}
