package httpresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadBytes limits the size of a response's head, together with the interim responses before it.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines limits the lines of a head. Parsed, a short line takes many times its bytes.
	MaxHeadLines = 1000
)

// Head checks the head of a response as its bytes arrive: status line, names of fields, framing, number of lines. It does not check what
// net/http checks, such as values and lengths. The zero value expects a status line.
type Head struct {
	// Upgrade is set if the request asks for another protocol, so that status 101 is an answer.
	Upgrade bool
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// status is 0 until the status line has been read.
	status int
	// lines is the number of lines read.
	lines int
	// http10 is true if the response is of HTTP/1.0, fields once a field has been read.
	http10, fields bool
	err            error
}

// Reset makes h expect another head.
func (h *Head) Reset() { *h = Head{Upgrade: h.Upgrade} }

// Check checks further bytes. It returns how many of them belong to the head and whether the head is complete. After an error, which
// wraps ErrMalformed, it returns the same error again.
func (h *Head) Check(p []byte) (n int, complete bool, err error) {
	for n < len(p) && h.err == nil && !complete {
		line, _, ended := bytes.Cut(p[n:], newline)
		if !ended {
			h.line = append(h.line, p[n:]...)
			return len(p), false, nil
		}
		n += len(line) + len(newline)
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = line[:0]
		}
		complete, h.err = h.checkLine(bytes.TrimSuffix(line, carriageReturn))
	}
	return n, complete && h.err == nil, h.err
}

var newline, carriageReturn = []byte("\n"), []byte("\r")

// Interim reports whether a complete head is one of a response before the final one.
func (h *Head) Interim() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// checkLine checks a line without its end. last is true at the empty line that ends the head.
func (h *Head) checkLine(line []byte) (last bool, err error) {
	h.lines++
	switch {
	case h.lines > MaxHeadLines:
		return false, errTooManyLines
	case h.status == 0:
		return false, h.checkStatusLine(line)
	case len(line) == 0:
		return true, nil
	case h.fields && (line[0] == ' ' || line[0] == '\t'): // continues the value of the line before
		return false, nil
	default:
		h.fields = true
		return false, h.checkField(line)
	}
}

// statusDigits is the length of a status.
const statusDigits = 3

func (h *Head) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' {
		return malformed("not a status line of HTTP/1", line)
	}
	h.http10 = minor[0] == '0'
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(digits), 10, 16)
	if err != nil || len(digits) != statusDigits || !validStatus(int(status)) {
		return malformed("status out of range", line)
	}
	h.status = int(status)
	if h.status == http.StatusSwitchingProtocols && !h.Upgrade {
		return malformed("unexpected change of protocols", line)
	}
	return nil
}

func validStatus(status int) bool { return status >= 100 && status <= 599 }

func (h *Head) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !httpguts.ValidHeaderFieldName(string(name)):
		return malformed("name of a field", line)
	case h.http10 && strings.EqualFold(string(name), "Transfer-Encoding"):
		return malformed("coding of the body in HTTP/1.0", line)
	default:
		return nil
	}
}
