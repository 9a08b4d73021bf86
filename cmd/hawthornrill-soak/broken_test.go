package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// brokenStream is the stream of random numbers of broken answers.
	brokenStream = 63
	// brokenPause bounds the time between two endpoints that begin to send broken answers, brokenStay the time for which one does, both
	// in milliseconds.
	brokenPause, brokenStay = 400, 1500
	// endlessBytes bounds an answer without end that nobody stops.
	endlessBytes = 64 << 20
)

// keptBrokenSeeds are played by every test run.
var keptBrokenSeeds = []int64{63000}

// Guards against broken answers that reach callers, or are taken for "not run", while nodes are stopped, killed and reloaded.
func TestBrokenAnswersAmongFaults(t *testing.T) {
	for _, seed := range seedsToPlay(keptBrokenSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			answersAtATime <- struct{}{}
			defer func() { <-answersAtATime }()
			s := newSoak(t, seed, true)
			s.broken = true
			s.run(*durationFlag)
		})
	}
}

// answersAtATime bounds the soaks of broken and late answers that run at the same time, beside the tests of cuts.
var answersAtATime = make(chan struct{}, 1)

// brokenAnswers returns the kinds of broken answers: malformed ones, some that end by a reset, and some without end.
func brokenAnswers() []platformtest.RawAnswer {
	var answers []platformtest.RawAnswer
	for i := range responsetest.Malformed("") {
		answers = append(answers, func(connection net.Conn, fields string) {
			_, _ = io.WriteString(connection, responsetest.Malformed(fields)[i].Text)
		})
	}
	for _, part := range []string{"\r\npart", "\r\nid: 1\nda", "Content-Length: 100\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
		answers = append(answers, func(connection net.Conn, fields string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+fields+part)
			_ = connection.(*net.TCPConn).SetLinger(0)
		})
	}
	for _, endless := range []string{"X-More: y\r\n", "x", "\r\nabcde", "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"} {
		answers = append(answers, func(connection net.Conn, fields string) {
			_, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+fields+endless)
			piece := strings.Repeat(strings.TrimPrefix(endless, "Transfer-Encoding: chunked\r\n\r\n"), 1000)
			for sent := 0; err == nil && sent < endlessBytes; sent += len(piece) {
				_, err = io.WriteString(connection, piece)
			}
		})
	}
	return answers
}

// giveBrokenAnswers lets single endpoints send broken answers for a while, several at a time, until the end of the run.
func (s *soak) giveBrokenAnswers(random *rand.Rand, end time.Time, start func(func())) {
	answers := brokenAnswers()
	for time.Now().Before(end) {
		answer, stay := answers[random.IntN(len(answers))], time.Duration(random.IntN(brokenStay))*time.Millisecond
		choice := random.Uint64()
		start(func() {
			defer s.history.beginFault("broken answers", "")()
			s.mu.Lock()
			e := s.endpoints[choice%uint64(len(s.endpoints))]
			s.mu.Unlock()
			e.SendRaw(answer)
			time.Sleep(stay)
			e.SendRaw(nil)
		})
		time.Sleep(time.Duration(random.IntN(brokenPause)) * time.Millisecond)
	}
}
