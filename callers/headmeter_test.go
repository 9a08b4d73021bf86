package callers

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// randomHead returns a request head whose lines end and continue in all ways that net/http reads.
func randomHead(random *rand.Rand) string {
	var b strings.Builder
	end := func() { b.WriteString([]string{"\r\n", "\n"}[random.IntN(2)]) }
	b.WriteString("GET / HTTP/1.1")
	end()
	b.WriteString("Host: h")
	end()
	for range random.IntN(30) {
		b.WriteString([]string{"a:", "Bc: d", "E:  f,g", "h: i\r", "J: "}[random.IntN(5)][:2])
		b.WriteString(strings.Repeat("x", random.IntN(40)))
		end()
		if random.IntN(8) == 0 {
			b.WriteString([]string{" ", "\t", " k", "\tl,m"}[random.IntN(4)])
			end()
		}
	}
	end()
	return b.String()
}

// Guards against a head that is counted to another end than net/http reads it: what follows would be counted as part of it, or not at
// all.
func TestHeadEndsWhereNetHTTPEndsIt(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		text := randomHead(random) + "body\n\n\r\n\r\n"
		rest := strings.NewReader(text)
		buffered := bufio.NewReader(rest)
		_, err := http.ReadRequest(buffered)
		if err != nil {
			continue // a line that is not valid
		}
		want := len(text) - rest.Len() - buffered.Buffered()
		var m headMeter
		got := 0
		for sent := 0; sent < len(text); {
			n := min(1+random.IntN(1+random.IntN(60)), len(text)-sent)
			got += m.read([]byte(text[sent : sent+n]))
			sent += n
		}
		assert.Assert(t, m.complete, "%q", text)
		assert.Equal(t, got, want, "%q", text)
		assert.Equal(t, m.bytes, want)
		assert.Equal(t, m.commas, strings.Count(text[:want], ","))
	}
}

func TestEmptyLinesBeforeAHeadBelongToIt(t *testing.T) {
	var m headMeter
	assert.Equal(t, m.read([]byte("\r\n\n\r\n")), 5)
	assert.Assert(t, !m.complete)
	assert.Equal(t, m.read([]byte("GET / HTTP/1.1\r\n\r\nx")), 18)
	assert.Assert(t, m.complete)
}

// responseStatus reads a response and returns its status.
func responseStatus(t *testing.T, r io.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(r), nil)
	assert.NilError(t, err)
	return response.StatusCode
}
