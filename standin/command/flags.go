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

// flagSet is a flag.FlagSet that continues after an invalid flag, so that all
// problems are reported together.
type flagSet struct {
	*flag.FlagSet
	problems problems
}

// problems are all problems of a command line.
type problems []settings.Problem

// Error returns the problems, one per line.
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

func (f *flagSet) addProblem(field, value, reason string) {
	f.problems = append(f.problems, settings.Problem{Field: field, Value: value, Reason: reason})
}

// define adds a flag. An error of parse is recorded as a problem with the flag.
func (f *flagSet) define(name, usage string, parse func(text string) error) {
	f.Func(name, usage, func(text string) error {
		if err := parse(text); err != nil {
			f.addProblem("-"+name, text, err.Error())
		}
		return nil
	})
}

// integer defines a flag with a whole number of at least minimum; *value is the
// default.
func (f *flagSet) integer(name string, value *int, minimum int, usage string) {
	usage = fmt.Sprintf("%s (default %d)", usage, *value)
	f.define(name, usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < minimum {
			return fmt.Errorf("must be a whole number of at least %d", minimum)
		}
		*value = n
		return nil
	})
}

// fraction defines a flag with a number from minimum to maximum; *value is the
// default.
func (f *flagSet) fraction(name string, value *float64, minimum, maximum float64, usage string) {
	usage = fmt.Sprintf("%s (default %v)", usage, *value)
	f.define(name, usage, func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n >= minimum && n <= maximum) {
			return fmt.Errorf("must be a number between %v and %v", minimum, maximum)
		}
		*value = n
		return nil
	})
}

// duration defines a flag with a non-negative duration; *value is the default.
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

// address defines a flag with an address "IP:port".
func (f *flagSet) address(name string, value *string, usage string) {
	f.define(name, usage, func(text string) error {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return errors.New(`must be "IP:port", such as "127.0.0.1:8000"`)
		}
		*value = text
		return nil
	})
}

// baseURL defines a flag with a URL "http://IP:port".
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

// parse parses the arguments. It returns flag.ErrHelp if help is requested, else
// all problems as one error, or nil.
func (f *flagSet) parse(args []string) error {
	for {
		err := f.Parse(args)
		switch {
		case errors.Is(err, flag.ErrHelp):
			return err
		case err != nil:
			f.addSyntaxProblem(err)
			args = skipValue(f.Args())
		case f.NArg() > 0:
			f.addProblem("argument", f.Arg(0), "is not a flag")
			args = f.Args()[1:]
		default:
			return f.problemsError()
		}
	}
}

func (f *flagSet) problemsError() error {
	if len(f.problems) == 0 {
		return nil
	}
	return f.problems
}

// addSyntaxProblem records an error of package flag, whose text ends with the flag.
func (f *flagSet) addSyntaxProblem(err error) {
	reason, name, ok := strings.Cut(err.Error(), ": ")
	if !ok {
		reason, name = err.Error(), ""
	}
	f.addProblem(name, "", reason)
}

// skipValue drops the first argument if it looks like the value of the flag that
// was rejected.
func skipValue(args []string) []string {
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[1:]
	}
	return args
}
