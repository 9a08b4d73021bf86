package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/settings"
)

// flagSet is a flag.FlagSet that goes on after a flag that is wrong, so that all
// of them are reported.
type flagSet struct {
	*flag.FlagSet
	problems problems
}

// problems are all that is wrong with a command line.
type problems []settings.Problem

// Error lists the problems, one a line.
func (p problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func newFlagSet(name string) *flagSet {
	f := &flagSet{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
	f.SetOutput(io.Discard)
	return f
}

func (f *flagSet) add(field, value, reason string) {
	f.problems = append(f.problems, settings.Problem{Field: field, Value: value, Reason: reason})
}

// define adds a flag whose text is checked by parse.
func (f *flagSet) define(name, usage string, parse func(text string) error) {
	f.Func(name, usage, func(text string) error {
		if err := parse(text); err != nil {
			f.add("-"+name, text, err.Error())
		}
		return nil
	})
}

// integer defines a flag with a whole number of at least least; *value is the
// default.
func (f *flagSet) integer(name string, value *int, least int, usage string) {
	usage = fmt.Sprintf("%s (default %d)", usage, *value)
	f.define(name, usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < least {
			return fmt.Errorf("must be a whole number of at least %d", least)
		}
		*value = n
		return nil
	})
}

// fraction defines a flag with a number between the bounds.
func (f *flagSet) fraction(name string, value *float64, least, most float64, usage string) {
	usage = fmt.Sprintf("%s (default %v)", usage, *value)
	f.define(name, usage, func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n >= least && n <= most) {
			return fmt.Errorf("must be a number between %v and %v", least, most)
		}
		*value = n
		return nil
	})
}

// duration defines a flag with a time that is not negative.
func (f *flagSet) duration(name string, value *time.Duration, usage string) {
	usage = fmt.Sprintf("%s (default %v)", usage, *value)
	f.define(name, usage, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return errors.New(`must be a time such as "500ms" or "1m30s", not negative`)
		}
		*value = d
		return nil
	})
}

// address defines a flag with "IP:port".
func (f *flagSet) address(name string, value *string, usage string) {
	f.define(name, usage, func(text string) error {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return errors.New(`must be "IP:port", such as "127.0.0.1:8000"`)
		}
		*value = text
		return nil
	})
}

// baseURL defines a flag with "http://IP:port".
func (f *flagSet) baseURL(name string, value *string, usage string) {
	f.define(name, usage, func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return errors.New(`must be "http://IP:port"`)
		}
		*value = text
		return nil
	})
}

// parse reads the arguments. It returns flag.ErrHelp, or all problems.
func (f *flagSet) parse(args []string) error {
	for {
		err := f.Parse(args)
		switch {
		case errors.Is(err, flag.ErrHelp):
			return err
		case err != nil:
			f.addSyntax(err)
			args = skipValue(f.Args())
		case f.NArg() > 0:
			f.add("argument", f.Arg(0), "is not a flag")
			args = f.Args()[1:]
		default:
			return f.err()
		}
	}
}

func (f *flagSet) err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return f.problems
}

// addSyntax notes an error of package flag, whose text ends with the flag.
func (f *flagSet) addSyntax(err error) {
	reason, name, ok := strings.Cut(err.Error(), ": ")
	if !ok {
		reason, name = err.Error(), ""
	}
	f.add(name, "", reason)
}

// skipValue leaves out what looks like the value of an unknown flag.
func skipValue(args []string) []string {
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[1:]
	}
	return args
}
