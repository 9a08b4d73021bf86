// Command hawthornrill-demo runs a complete deployment in one process on loopback.
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
	"hawthornrill.example/hawthornrill/demo"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/logging"
	"hawthornrill.example/hawthornrill/settings"
)

// startTimeout bounds the startup of the deployment.
const startTimeout = 30 * time.Second

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("hawthornrill-demo", flag.ContinueOnError)
	name := flags.String("deployment", "cucine", "which `deployment` to run: "+strings.Join(deployment.Names(), " or "))
	once := flags.Bool("once", false, "run a sample, check it and exit")
	level := flags.String("log", "warn", "log `level`: debug, info, warn or error")
	version := flags.Bool("version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitBadInput
	}
	if *version {
		fmt.Println(buildinfo.String())
		return exitOK
	}
	d, err := deployment.ByName(*name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "-deployment = %q: %v\n", *name, err)
		return exitBadInput
	}
	log := logging.New(settings.Log{Level: *level, Format: "console"}, os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, demo.Options{Deployment: d, Log: log}, *once); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

func serve(ctx context.Context, options demo.Options, once bool) error {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := demo.Start(starting, options)
	if err != nil {
		return err
	}
	if once {
		err := errors.Join(d.RunSample(ctx, os.Stdout), d.Stop())
		if err == nil {
			err = samplePlatform(ctx, os.Stdout, options.Log)
		}
		return err
	}
	if err := d.WriteGuide(os.Stdout); err != nil {
		return errors.Join(err, d.Stop())
	}
	<-ctx.Done()
	return d.Stop()
}
