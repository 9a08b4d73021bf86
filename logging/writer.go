package logging

import (
	"bytes"

	"github.com/rs/zerolog"
)

// LineWriter turns each Write into a log entry of a fixed level, for libraries that
// log plain lines.
type LineWriter struct {
	Logger zerolog.Logger
	Level  zerolog.Level
}

// Write implements io.Writer.
func (w LineWriter) Write(line []byte) (int, error) {
	w.Logger.WithLevel(w.Level).Msg(string(bytes.TrimSpace(line)))
	return len(line), nil
}
