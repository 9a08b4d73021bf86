package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

var errLongEvent = errors.New("gateway: an event is too long")

// lineReader reads lines with their ends.
type lineReader struct{ *bufio.Reader }

// lineBuffer holds an event of the usual size.
const lineBuffer = 2 << 10

func newLineReader(r io.Reader) lineReader { return lineReader{bufio.NewReaderSize(r, lineBuffer)} }

// next returns the next line or a part of a long one; it is valid until the next call.
func (r lineReader) next() ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = nil
	}
	return line, err
}

func trimLine(line []byte) []byte { return bytes.TrimRight(line, "\r\n") }

// fieldID returns the value of an id field.
func fieldID(line []byte) (string, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimSpace(value)), true
}
