package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

var errEventTooLong = errors.New("gateway: stream event exceeds the size limit")

// lineReader reads lines including their line endings.
type lineReader struct{ *bufio.Reader }

// lineBufferBytes is large enough for a typical event.
const lineBufferBytes = 2 << 10

func newLineReader(r io.Reader) lineReader {
	return lineReader{bufio.NewReaderSize(r, lineBufferBytes)}
}

// next returns the next line, or a fragment of one that exceeds the buffer; it is valid until the next call.
func (r lineReader) next() ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = nil
	}
	return line, err
}

func trimLine(line []byte) []byte { return bytes.TrimRight(line, "\r\n") }

// fieldID returns the value of an event's id field, false if the line is another field.
func fieldID(line []byte) (string, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimSpace(value)), true
}
