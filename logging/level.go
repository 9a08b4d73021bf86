package logging

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Level is a minimum log level that can be changed at run time.
type Level struct{ value atomic.Int32 }

// NewLevel returns the level of the given name, or info if the name is invalid.
func NewLevel(name string) *Level {
	l := &Level{}
	l.Set(name)
	return l
}

// Set changes the level to that of the given name, or to info if the name is invalid.
func (l *Level) Set(name string) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	l.value.Store(int32(level))
}

// LevelFilter is a zerolog.LevelWriter that drops lines below a level.
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
