package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// ErrUnreadable means that the file could not be read or could not be decoded as
// TOML.
var ErrUnreadable = errors.New("settings: can't load the file")

// Load reads the file, applies it to the defaults and validates the result. The
// error is ErrUnreadable or Problems; the latter lists all problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return Parse(string(text))
}

// Parse is like Load but takes the content of the file.
func Parse(text string) (Settings, error) {
	s := Default()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s", ErrUnreadable, parseErrorText(err))
	}
	problems := unknownFields(meta)
	problems = append(problems, s.Check()...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

func parseErrorText(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return strings.TrimSpace(parse.ErrorWithPosition())
	}
	return err.Error()
}

func unknownFields(meta toml.MetaData) Problems {
	var problems Problems
	for _, key := range meta.Undecoded() {
		problems = append(problems, Problem{Field: key.String(), Reason: "unknown setting"})
	}
	return problems
}
