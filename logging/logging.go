// Package logging creates the structured logger of a process.
package logging

import (
	"io"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/settings"
)

// New returns a logger that writes to w in the format and from the level of the
// validated settings.
func New(s settings.Log, w io.Writer) zerolog.Logger {
	if s.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000"}
	}
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
