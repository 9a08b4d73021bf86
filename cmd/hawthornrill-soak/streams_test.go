package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// stream is a stream over all requests of its caller: the first one and its resumptions.
type stream struct {
	tries []outcome
	// began is the software version that sent the first event that the caller got, empty if it got none.
	began  string
	events int
}

// resumptionTime is the time that a resumption may need on a slow machine: callers with less of it don't send one, as their deadline
// would end it.
const resumptionTime = 5 * time.Second

// maxResumptions is how often a caller resumes one stream.
const maxResumptions = 4

// follow resumes a stream that may be resumed and that its first request has not brought to its end, at any node.
func (s *soak) follow(first outcome, random *rand.Rand) {
	if first.path != "/chat/" {
		return
	}
	st := &stream{}
	st.add(first)
	for attempt := first; st.unfinished(s, attempt) && len(st.tries) <= maxResumptions; {
		left := callTimeout - time.Since(first.sent)
		time.Sleep(min(attempt.retryAfter, left/3))
		n := s.nodes[random.IntN(len(s.nodes))]
		next := outcome{
			id: fmt.Sprint("r", s.requests.Add(1)), node: n.name, key: first.key, path: first.path, content: first.content,
			lastEvent: st.events, resumes: first.id,
		}
		client := httpresponse.NewTransport(&http.Transport{})
		attempt = s.send(client, n, next, callTimeout-time.Since(first.sent))
		client.CloseIdleConnections()
		s.history.addOutcome(attempt)
		st.add(attempt)
	}
	s.history.addStream(st)
}

// readUntil reads a stream to its end or, if events is not zero, until the caller loses its connection after so many events.
func readUntil(body io.Reader, events int) ([]byte, error) {
	if events == 0 {
		return io.ReadAll(body)
	}
	var text []byte
	reader := bufio.NewReader(body)
	for events > 0 {
		line, err := reader.ReadBytes('\n')
		text = append(text, line...)
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		if len(line) == 1 {
			events--
		}
	}
	return text, errConnectionLost
}

// errConnectionLost is the error of a caller that closes its connection amid a stream, as if that had been lost.
var errConnectionLost = errors.New("soak: connection lost")

// unfinished reports whether the caller resumes the stream after the attempt: it has had an event, but not all, and was not
// answered that nobody can continue it.
func (st *stream) unfinished(s *soak, last outcome) bool {
	complete := last.err == nil && last.status == http.StatusOK
	final := last.status == http.StatusServiceUnavailable && last.retryAfter == 0 || last.status == http.StatusUnauthorized
	timeLeft := callTimeout - time.Since(st.tries[0].sent)
	return st.events > 0 && !complete && !final && timeLeft > resumptionTime
}

func (st *stream) add(o outcome) {
	events, _ := platformtest.ParseEvents(o.body)
	if st.events == 0 && len(events) > 0 {
		st.began = events[0].Version
	}
	st.events += len(events)
	st.tries = append(st.tries, o)
}

func (h *history) addStream(st *stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams = append(h.streams, st)
}

// retryAfter is the time of a Retry-After field, zero if there is none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
