package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// startStayingCallers starts callers that each send all requests to one node, also while it stops, on a connection that they
// keep open until the node closes it.
func (s *soak) startStayingCallers(stop chan struct{}, start func(func())) {
	for i, n := range s.nodes {
		random := rand.New(rand.NewPCG(uint64(s.seed), uint64(stayingStream+i)))
		start(func() { s.callUntil(stop, random, func() *process { return n }) })
	}
}

// stayingStream separates the draws of callers that stay with a node.
const stayingStream = 1 << 32

// callUntil sends one request after another until stop is closed.
func (s *soak) callUntil(stop chan struct{}, random *rand.Rand, choose func() *process) {
	s.sendUntil(stop, random, func(client http.RoundTripper) outcome {
		return s.call(client, choose(), paths[random.IntN(len(paths))], fmt.Sprint("k", random.IntN(8)))
	})
}

// sendUntil sends one request after another until stop is closed, and resumes streams that break. Connections are kept open until the
// node closes them.
func (s *soak) sendUntil(stop chan struct{}, random *rand.Rand, send func(client http.RoundTripper) outcome) {
	client := httpresponse.NewTransport(&http.Transport{})
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		o := send(client)
		s.history.addOutcome(o)
		s.follow(o, random)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// callTimeout is how long a caller waits for its answer.
const callTimeout = 9 * time.Second

func (s *soak) call(client http.RoundTripper, n *process, path, key string) outcome {
	return s.callWithin(client, n, path, key, callTimeout)
}

func (s *soak) callWithin(client http.RoundTripper, n *process, path, key string, timeout time.Duration) outcome {
	number := s.requests.Add(1)
	o := outcome{id: fmt.Sprint("r", number), node: n.name, key: key, path: path, content: "body"}
	if path == "/chat/" && number%2 == 0 { // other streams have the same content
		o.content += " of " + o.id
	}
	return s.send(client, n, o, timeout)
}

// send sends the request that the outcome describes so far, and completes it.
func (s *soak) send(client http.RoundTripper, n *process, o outcome, timeout time.Duration) outcome {
	o.sent = time.Now()
	model := o.path == "/chat/" || o.path == "/once/"
	request, err := platformtest.NewRequest("http://"+n.callerAddress+o.path, o.id, o.key, timeout, model, strings.NewReader(o.content))
	if err != nil {
		s.t.Error(err)
		o.ended = time.Now()
		return o
	}
	if model {
		if o.prompt == nil {
			o.prompt = soundPrompt(o.path, s.requests.Load())
		}
		platformtest.SetPrompt(request, o.prompt...)
	}
	if o.resumes != "" {
		platformtest.Resume(request, o.lastEvent, o.resumes)
	}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { o.connected, o.connectionIdle = true, c.IdleTime }}
	response, err := client.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		o.err, o.ended = err, time.Now()
		return o
	}
	defer response.Body.Close()
	body, err := readUntil(response.Body, o.leaveAfter)
	o.status, o.body, o.err, o.ended = response.StatusCode, string(body), err, time.Now()
	o.retryAfter = retryAfter(response.Header)
	return o
}
