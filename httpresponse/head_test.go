package httpresponse_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// checkHeads checks the text, in pieces of the size, up to the end of the final head. It returns where that is.
func checkHeads(text string, size int) (end int, complete bool, err error) {
	var head httpresponse.Head
	for end < len(text) {
		n, complete, err := head.Check([]byte(text[end:min(end+size, len(text))]))
		end += n
		if err != nil {
			return end, false, err
		}
		if complete && !head.Interim() {
			return end, true, nil
		}
		if complete {
			head.Reset()
		}
	}
	return end, false, nil
}

func TestHeadEndsWhereTheBodyBegins(t *testing.T) {
	for _, form := range responsetest.WellFormed("X-Id: 1\r\n") {
		for size := 1; size < 40; size++ {
			end, complete, err := checkHeads(form.Text, size)
			assert.NilError(t, err, form.Name)
			assert.Assert(t, complete, form.Name)
			body := form.Text[end:]
			assert.Assert(t, strings.HasPrefix(body, "hello") || strings.HasPrefix(body, "5\r\nhello"), "%s: %q", form.Name, body)
		}
	}
}

func TestMalformedHeadInPieces(t *testing.T) {
	for _, form := range responsetest.Malformed("X-Id: 1\r\n") {
		_, _, whole := checkHeads(form.Text, len(form.Text))
		for size := 1; size < 40; size++ {
			_, _, err := checkHeads(form.Text, size)
			assert.Equal(t, err == nil, whole == nil, "%s, in pieces of %d bytes", form.Name, size)
			if whole != nil {
				assert.ErrorIs(t, err, httpresponse.ErrMalformed)
				assert.Equal(t, err.Error(), whole.Error())
			}
		}
	}
}

func TestUpgradeIsAnAnswerIfRequested(t *testing.T) {
	for _, upgrade := range []bool{false, true} {
		head := httpresponse.Head{Upgrade: upgrade}
		_, complete, err := head.Check([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
		assert.Equal(t, complete, upgrade)
		assert.Equal(t, err == nil, upgrade)
		assert.Assert(t, !upgrade || !head.Interim())
	}
}

// Guards against heads that the check and net/http understand differently.
func FuzzHead(f *testing.F) {
	for _, form := range append(responsetest.Malformed(""), responsetest.WellFormed("")...) {
		f.Add(form.Text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var head httpresponse.Head
		end, complete, err := head.Check([]byte(text))
		source := strings.NewReader(text)
		reader := bufio.NewReader(source)
		response, parseErr := http.ReadResponse(reader, nil)
		if err != nil || parseErr != nil {
			return
		}
		if !complete {
			// net/http takes the end of the bytes for that of the head only if it returns an error.
			t.Fatalf("net/http found a head that the check did not: %q", text)
		}
		if unread := reader.Buffered() + source.Len(); unread != len(text)-end && response.Body == http.NoBody {
			t.Errorf("the head ends after %d bytes, for net/http after %d: %q", end, len(text)-unread, text)
		}
		if response.StatusCode < 100 || response.StatusCode > 599 {
			t.Errorf("status %d: %q", response.StatusCode, text)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	})
}
