package logging

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Level is a least level that can be changed while the process runs.
type Level struct{ value atomic.Int32 }

// NewLevel returns the level of the name, info if there is none of the name.
func NewLevel(name string) *Level {
	l := &Level{}
	l.Set(name)
	return l
}

// Set changes the level.
func (l *Level) Set(name string) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	l.value.Store(int32(level))
}

// LevelFilter writes the lines of a level or above.
type LevelFilter struct {
	io.Writer
	Level *Level
}

// WriteLevel implements zerolog.LevelWriter.
func (w LevelFilter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.Level(w.Level.value.Load()) {
		return len(line), nil
	}
	return w.Write(line)
}
