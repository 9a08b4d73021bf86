// Command hawthornrill-sizing fits the cost model's slopes to benchmark output and
// computes the tables of docs/CAPACITY.md from them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/sizing"
)

const usage = `usage:
  go test -run '^$' -bench BenchmarkSlope -timeout 1h ./... | hawthornrill-sizing fit [-in FILE] [-out docs/capacity.toml]
        fit the slopes of the constants file anew to benchmark output
  hawthornrill-sizing page [-constants docs/capacity.toml] [-out docs/CAPACITY.md]
        work out the tables of the page from the constants
  hawthornrill-sizing -version
`

const (
	constantsPath = "docs/capacity.toml"
	pagePath      = "docs/CAPACITY.md"
	exitBadInput  = 2
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadInput)
	}
}

func run(args []string) error {
	command := ""
	if len(args) > 0 {
		command, args = args[0], args[1:]
	}
	switch command {
	case "fit":
		return fitConstants(args)
	case "page":
		return renderPage(args)
	case "-version", "--version":
		fmt.Println(buildinfo.String())
		return nil
	case "-h", "--help", "help":
		fmt.Print(usage)
		return nil
	default:
		return fmt.Errorf("unknown command %q\n%s", command, usage)
	}
}

func fitConstants(args []string) error {
	flags := flag.NewFlagSet("fit", flag.ContinueOnError)
	in := flags.String("in", "-", "`file` with the output of go test -bench, - for standard input")
	out := flags.String("out", constantsPath, "constants `file` to update")
	if err := parse(flags, args); err != nil {
		return ignoreHelp(err)
	}
	source, err := openInput(*in)
	if err != nil {
		return err
	}
	defer source.Close()
	fitted, err := sizing.FitFile(*out, source, time.Now())
	fmt.Printf("fitted: %s\n", strings.Join(fitted, " "))
	return err
}

func renderPage(args []string) error {
	flags := flag.NewFlagSet("page", flag.ContinueOnError)
	constants := flags.String("constants", constantsPath, "constants `file`")
	out := flags.String("out", pagePath, "page to update, Markdown `file` with markers")
	if err := parse(flags, args); err != nil {
		return ignoreHelp(err)
	}
	return sizing.RenderFile(*constants, *out)
}

func parse(flags *flag.FlagSet, args []string) error {
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return nil
}

// ignoreHelp maps flag.ErrHelp to nil, since printing the help is no failure.
func ignoreHelp(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	return err
}

func openInput(path string) (io.ReadCloser, error) {
	if path == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(path)
}
