package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Streams are the input and the outputs of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	// transport replaces the HTTP transport in tests.
	transport http.RoundTripper
}

// command describes a command of hawthornctl.
type command struct {
	// name has one or two words; arguments describes what follows the flags.
	name, arguments, summary string
	// defineFlags adds the command's flags and returns the function that runs it.
	defineFlags func(flags *flag.FlagSet) commandFunc
}

// commandFunc checks flags and arguments and runs a command. It returns an exit
// code; if the error is usageProblems, nothing has been attempted.
type commandFunc func(ctx context.Context, s Streams, arguments []string) (int, error)

func commands() []command {
	return []command{
		{"table export", "PATH", "write the table into a directory of CSV files, or a .toml file", defineExport},
		{"table check", "PATH", "check a table file without asking a node", defineCheck},
		{"table diff", "PATH", "show what applying a table file would change", defineDiff},
		{"table apply", "PATH", "show what changes, ask, and make the changes", defineApply},
		{"table history", "", "list the generations that can be rolled back to", defineHistory},
		{"table rollback", "GENERATION", "make an earlier table the newest one", defineRollback},
		{"status", "", "tell what is in force on which node", defineStatus},
		{"key new", "", "make an API key and print it, once, with its SHA-256", defineKey},
	}
}

// findCommand returns the command named by the first words, and the remaining words.
func findCommand(words []string) (command, []string, bool) {
	for _, c := range commands() {
		name := strings.Fields(c.name)
		if len(words) >= len(name) && strings.Join(words[:len(name)], " ") == c.name {
			return c, words[len(name):], true
		}
	}
	return command{}, nil, false
}

// findGroup returns the commands whose names begin with the first word, if it is the
// only word or is followed by a request for help only.
func findGroup(words []string) ([]command, bool) {
	if len(words) > 2 || len(words) == 2 && !isHelp(words[1]) {
		return nil, false
	}
	var group []command
	for _, c := range commands() {
		if strings.HasPrefix(c.name, words[0]+" ") {
			group = append(group, c)
		}
	}
	return group, len(group) > 0
}

func isHelp(word string) bool {
	switch word {
	case "-h", "-help", "--help", "help":
		return true
	}
	return false
}

func printGroup(out io.Writer, group []command) {
	for _, c := range group {
		_, _ = fmt.Fprintf(out, "  hawthornctl %-16s %-12s %s\n", c.name, c.arguments, c.summary)
	}
}

func (c command) usage(flags *flag.FlagSet, out io.Writer) {
	_, _ = fmt.Fprintf(out, "usage: hawthornctl %s [flags] %s\n\n%s\n\n", c.name, c.arguments, c.summary)
	flags.SetOutput(out)
	flags.PrintDefaults()
}
