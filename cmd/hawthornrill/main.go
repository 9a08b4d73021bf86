// Command hawthornrill runs one node on an entry host.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/daemon"
	"hawthornrill.example/hawthornrill/logging"
	"hawthornrill.example/hawthornrill/settings"
)

const usage = `usage:
  hawthornrill -config FILE          run the node until SIGINT or SIGTERM, then drain; SIGHUP has no effect
  hawthornrill check -config FILE    check the settings and exit
  hawthornrill -version

`

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// Registered first, since SIGHUP ends a process that has not.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	checkOnly := len(args) > 0 && args[0] == "check"
	if checkOnly {
		args = args[1:]
	}
	flags := flag.NewFlagSet("hawthornrill", flag.ContinueOnError)
	path := flags.String("config", "", "path of the TOML settings `file` (required)")
	version := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), usage)
		flags.PrintDefaults()
	}
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
	s, err := load(*path, flags.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(s, hangUps)
}

func load(path string, rest []string) (settings.Settings, error) {
	if len(rest) > 0 {
		return settings.Settings{}, fmt.Errorf("unexpected argument %q", rest[0])
	}
	if path == "" {
		return settings.Settings{}, errors.New("-config = \"\": the path of the settings file is required")
	}
	return settings.Load(path)
}

func serve(s settings.Settings, hangUps <-chan os.Signal) int {
	log := logging.New(s.Log, os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go logHangUps(ctx, hangUps, log)
	if err := daemon.Run(ctx, s, log); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailure
	}
	return exitOK
}

func logHangUps(ctx context.Context, signals <-chan os.Signal, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			log.Warn().Msg("SIGHUP has no effect: settings are read at start only")
		}
	}
}
