// Command hawthornrill-load sends a deployment's workload to nodes over HTTP in
// real time and reports the measured results. Without node addresses it starts
// the demo deployment and uses its nodes. Package load/virtual runs workloads in
// virtual time; see docs/EXPERIMENTS.md.
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

// Exit codes. A run that violated a guarantee exits with exitFailure.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

// Upper limits of the -for and -open flags.
const (
	maxDuration     = 10 * time.Minute
	maxOpenRequests = 5000
)

// errGuaranteeViolated means that the verdict counted at least one violation.
var errGuaranteeViolated = errors.New("guarantees violated")

// arguments holds the parsed command line.
type arguments struct {
	deployment      *deployment.Deployment
	options         load.Options
	maxOpen         int
	addresses       []string
	engines         []string
	services        []string
	reportDirectory string
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

// parse returns nil arguments if -version is given.
func parse(args []string) (*arguments, error) {
	flags := flag.NewFlagSet("hawthornrill-load", flag.ContinueOnError)
	name := flags.String("deployment", "cucine", "whose `workload` to send: "+strings.Join(deployment.Names(), " or "))
	seed := flags.Uint64("seed", 1, "`seed` of the workload")
	offeredLoad := flags.Float64("load", 0.5, "offered work in parts of the engines' `capacity`")
	duration := flags.Duration("for", 20*time.Second, "`time` over which requests arrive, at most "+maxDuration.String())
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
	if *duration <= 0 || *duration > maxDuration || *open < 1 || *open > maxOpenRequests || *offeredLoad <= 0 {
		return nil, fmt.Errorf("-for must be above 0 and at most %v, -open between 1 and %d, -load above 0", maxDuration, maxOpenRequests)
	}
	return &arguments{
		deployment:      d,
		options:         load.Options{Seed: *seed, Load: *offeredLoad, Duration: *duration},
		maxOpen:         *open,
		addresses:       splitList(*addresses),
		engines:         splitList(*engines),
		services:        splitList(*services),
		reportDirectory: *report,
	}, nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
