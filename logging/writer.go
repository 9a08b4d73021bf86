package logging

import (
	"bytes"

	"github.com/rs/zerolog"
)

// Writer makes one log entry of a level from each Write, for libraries that log
// plain lines.
type Writer struct {
	Logger zerolog.Logger
	Level  zerolog.Level
}

// Write implements io.Writer.
func (w Writer) Write(line []byte) (int, error) {
	w.Logger.WithLevel(w.Level).Msg(string(bytes.TrimSpace(line)))
	return len(line), nil
}
