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

// Main runs the program and returns its exit code; args excludes the program's
// name. A running stand-in stops on SIGINT or SIGTERM.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printUsage(stderr)
		return exitBadInput
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		printUsage(stdout)
		return exitOK
	case "-version", "--version":
		fmt.Fprintln(stdout, buildinfo.String())
		return exitOK
	}
	k, ok := findKind(args[0])
	if !ok {
		fmt.Fprintf(stderr, "kind = %q: must be one of%s\n", args[0], kindNames())
		return exitBadInput
	}
	return runKind(k, args[1:], stdout, stderr)
}

func runKind(k kind, args []string, stdout, stderr io.Writer) int {
	f := newFlagSet(k.name)
	var common commonFlags
	common.define(f, k.hasControl)
	build := k.define(f)
	err := f.parse(args)
	if errors.Is(err, flag.ErrHelp) {
		printKindUsage(stdout, k, f)
		return exitOK
	}
	if common.version {
		fmt.Fprintln(stdout, buildinfo.String())
		return exitOK
	}
	if err := errors.Join(err, common.check(f)); err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadInput
	}
	if err := serve(k.name, common, build, stderr); err != nil {
		fmt.Fprintln(stderr, err)
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

// commonFlags are the flags that all kinds have.
type commonFlags struct {
	listen  string
	control string
	level   string
	version bool
}

func logLevels() []string { return []string{"debug", "info", "warn", "error"} }

func (c *commonFlags) define(f *flagSet, hasControl bool) {
	c.level = "info"
	f.address(flagListen, &c.listen, "`address` to serve on, such as 127.0.0.1:8000 (required)")
	if hasControl {
		f.address("control", &c.control, "`address` of a second listener with the /standin/ paths alone, which stays up while the stand-in is down (default none)")
	}
	f.define("log", "log `level`: debug, info, warn or error (default info)", func(text string) error {
		if !slices.Contains(logLevels(), text) {
			return fmt.Errorf("must be one of %v", logLevels())
		}
		c.level = text
		return nil
	})
	f.BoolVar(&c.version, "version", false, "print the version and exit")
}

// check returns an error if the required -listen was not given. parse only checks
// the flags on the command line.
func (c *commonFlags) check(f *flagSet) error {
	isSet := false
	f.Visit(func(visited *flag.Flag) { isSet = isSet || visited.Name == flagListen })
	if isSet {
		return nil
	}
	return errors.New(`-listen = "": is required`)
}
