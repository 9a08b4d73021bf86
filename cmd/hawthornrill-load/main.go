// Command hawthornrill-load sends a user's workload to nodes over HTTP in real
// time and reports what came of it. Without addresses it runs the demo. Runs in
// virtual time are in package load/virtual; see docs/EXPERIMENTS.md.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/load"
)

// Exit codes. A run that broke a promise is a failure.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

// The most that a run may take.
const (
	mostTime = 10 * time.Minute
	mostOpen = 5000
)

// errBroken means that the verdict found a breach.
var errBroken = errors.New("a promise was broken")

// arguments are the command line's.
type arguments struct {
	deployment *deployment.Deployment
	options    load.Options
	open       int
	addresses  []string
	engines    []string
	services   []string
	report     string
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parsed, err := parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	case parsed == nil:
		fmt.Println(buildinfo.String())
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := measure(ctx, parsed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

// parse returns nil arguments if only the version is asked for.
func parse(args []string) (*arguments, error) {
	flags := flag.NewFlagSet("hawthornrill-load", flag.ContinueOnError)
	name := flags.String("deployment", "cucine", "whose `workload` to send: "+strings.Join(deployment.Names(), " or "))
	seed := flags.Uint64("seed", 1, "`seed` of the workload")
	part := flags.Float64("load", 0.5, "offered work in parts of the engines' `capacity`")
	period := flags.Duration("for", 20*time.Second, "`time` over which requests arrive, at most "+mostTime.String())
	open := flags.Int("open", 1000, "most `requests` open at a time; beyond it they are not sent")
	addresses := flags.String("addresses", "", "`URLs` of nodes, separated by commas; none for the demo on loopback")
	engines := flags.String("engines", "", "`URLs` of the stand-in engines whose logs give the verdict, with -addresses")
	services := flags.String("services", "", "`URLs` of the stand-in services, with -addresses")
	report := flags.String("report", "", "`directory` for JSON and plots")
	version := flags.Bool("version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if *version {
		return nil, nil
	}
	d, err := deployment.ByName(*name)
	if err != nil {
		return nil, fmt.Errorf("-deployment = %q: %w", *name, err)
	}
	if *period <= 0 || *period > mostTime || *open < 1 || *open > mostOpen || *part <= 0 {
		return nil, fmt.Errorf("-for must be above 0 and at most %v, -open between 1 and %d, -load above 0", mostTime, mostOpen)
	}
	return &arguments{
		deployment: d,
		options:    load.Options{Seed: *seed, Load: *part, Duration: *period},
		open:       *open,
		addresses:  list(*addresses),
		engines:    list(*engines),
		services:   list(*services),
		report:     *report,
	}, nil
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
