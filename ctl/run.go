package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
)

const helpHeader = `hawthornctl drives hawthornrill from the table of weights and limits.

usage: hawthornctl COMMAND [flags] [arguments]

`

const helpFooter = `
  -h        this help; after a command, its flags
  -version  print the version

Commands that ask a node take its address from -node, or from the environment
variable HAWTHORNRILL_NODES, and the operator's key from the file of -key-file, or
of HAWTHORNRILL_KEY_FILE.

Exit codes: 0 done, 1 not done or not accepted, 2 wrong usage, 3 not known whether
accepted, 4 not in force everywhere.

To change the table:
  hawthornctl table export quotes/      # CSV files; edit them in a spreadsheet program
  hawthornctl table apply quotes/       # shows what changes and asks
  hawthornctl status                    # in force everywhere?
`

// Run executes a command line, given without the program name, and returns the exit
// code.
func Run(ctx context.Context, arguments []string, s Streams) int {
	if len(arguments) == 0 {
		printHelp(s.Err)
		return ExitUsage
	}
	switch {
	case isHelp(arguments[0]):
		printHelp(s.Out)
		return ExitOK
	case arguments[0] == "-version" || arguments[0] == "--version":
		_, _ = fmt.Fprintln(s.Out, "hawthornctl", version())
		return ExitOK
	}
	if group, ok := findGroup(arguments); ok {
		printGroup(s.Out, group)
		return ExitOK
	}
	c, rest, ok := findCommand(arguments)
	if !ok {
		_, _ = fmt.Fprintf(s.Err, "hawthornctl: there is no such command; hawthornctl -h lists them\n")
		return ExitUsage
	}
	return c.run(ctx, rest, s)
}

func (c command) run(ctx context.Context, arguments []string, s Streams) int {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	execute := c.defineFlags(flags)
	err := flags.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		c.usage(flags, s.Out)
		return ExitOK
	}
	code := ExitUsage
	if err == nil {
		code, err = execute(ctx, s, flags.Args())
	}
	if err != nil {
		_, _ = fmt.Fprintf(s.Err, "hawthornctl %s: %s\n", c.name, err)
	}
	var problems usageProblems
	if errors.As(err, &problems) {
		return ExitUsage
	}
	return code
}

func printHelp(out io.Writer) {
	_, _ = fmt.Fprint(out, helpHeader)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(out, "  %-15s %-11s %s\n", c.name, c.arguments, c.summary)
	}
	_, _ = fmt.Fprint(out, helpFooter)
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}
