package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// ErrUnreadable means that the file could not be read or is not TOML.
var ErrUnreadable = errors.New("settings: unreadable")

// Load reads the file over the defaults and checks the result. It returns
// ErrUnreadable or Problems with everything that is wrong.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return Parse(string(text))
}

// Parse is Load for a text.
func Parse(text string) (Settings, error) {
	s := Default()
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s", ErrUnreadable, describe(err))
	}
	problems := unknownFields(meta)
	problems = append(problems, s.Check()...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

func describe(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return strings.TrimSpace(parse.ErrorWithPosition())
	}
	return err.Error()
}

func unknownFields(meta toml.MetaData) Problems {
	var problems Problems
	for _, key := range meta.Undecoded() {
		problems = append(problems, Problem{Field: key.String(), Reason: "no such setting"})
	}
	return problems
}
