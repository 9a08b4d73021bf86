package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"

	"hawthornrill.example/hawthornrill/buildinfo"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

const (
	programName = "hawthornrill-standin"
	flagListen  = "listen"
)

// Main runs the program with the arguments after its name and returns the exit
// code. It ends on SIGINT or SIGTERM.
func Main(args []string, out, errorOut io.Writer) int {
	if len(args) == 0 {
		printUsage(errorOut)
		return exitBadInput
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		printUsage(out)
		return exitOK
	case "-version", "--version":
		fmt.Fprintln(out, buildinfo.String())
		return exitOK
	}
	k, ok := findKind(args[0])
	if !ok {
		fmt.Fprintf(errorOut, "kind = %q: must be one of%s\n", args[0], kindNames())
		return exitBadInput
	}
	return runKind(k, args[1:], out, errorOut)
}

func runKind(k kind, args []string, out, errorOut io.Writer) int {
	f := newFlagSet(k.name)
	var common commonFlags
	common.define(f, k.goesDown)
	build := k.define(f)
	err := f.parse(args)
	if errors.Is(err, flag.ErrHelp) {
		printKindUsage(out, k, f)
		return exitOK
	}
	if common.version {
		fmt.Fprintln(out, buildinfo.String())
		return exitOK
	}
	if err := errors.Join(err, common.check(f)); err != nil {
		fmt.Fprintln(errorOut, err)
		return exitBadInput
	}
	if err := serve(k.name, common, build, errorOut); err != nil {
		fmt.Fprintln(errorOut, err)
		return exitFailure
	}
	return exitOK
}

func kindNames() string {
	names := ""
	for _, k := range kinds() {
		names += " " + k.name
	}
	return names
}

func printUsage(w io.Writer) {
	fmt.Fprintf(w, "usage: %s KIND -listen IP:port [flags]\n\nkinds:\n", programName)
	for _, k := range kinds() {
		fmt.Fprintf(w, "  %-9s %s\n", k.name, k.summary)
	}
	fmt.Fprintf(w, "\n%s KIND -h explains the flags of a kind; -version prints the version.\n", programName)
}

func printKindUsage(w io.Writer, k kind, f *flagSet) {
	fmt.Fprintf(w, "usage: %s %s -listen IP:port [flags]\n\nRuns a stand-in for %s until SIGINT or SIGTERM.\n\n", programName, k.name, k.summary)
	f.SetOutput(w)
	f.PrintDefaults()
}

// commonFlags are the flags of all kinds.
type commonFlags struct {
	listen  string
	control string
	level   string
	version bool
}

func levels() []string { return []string{"debug", "info", "warn", "error"} }

func (c *commonFlags) define(f *flagSet, goesDown bool) {
	c.level = "info"
	f.address(flagListen, &c.listen, "`address` to serve on, such as 127.0.0.1:8000 (required)")
	if goesDown {
		f.address("control", &c.control, "`address` of a second listener with the /standin/ paths alone, which stays up while the stand-in is down (default none)")
	}
	f.define("log", "log `level`: debug, info, warn or error (default info)", func(text string) error {
		if !slices.Contains(levels(), text) {
			return fmt.Errorf("must be one of %v", levels())
		}
		c.level = text
		return nil
	})
	f.BoolVar(&c.version, "version", false, "print the version and exit")
}

// check misses a required flag that was not given at all.
func (c *commonFlags) check(f *flagSet) error {
	given := false
	f.Visit(func(one *flag.Flag) { given = given || one.Name == flagListen })
	if given {
		return nil
	}
	return errors.New(`-listen = "": is required`)
}
