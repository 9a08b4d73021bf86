// Command hawthornrill-entry runs one entry node on the platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/entrynode"
	"hawthornrill.example/hawthornrill/logging"
	"hawthornrill.example/hawthornrill/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

const (
	// storeDialTimeout bounds the dial of a store connection. The store answers within milliseconds.
	storeDialTimeout = 500 * time.Millisecond
	// storeSilentTimeout detects a dead store connection while a watch is waiting on it.
	storeSilentTimeout = time.Second
	// maxStoreRest bounds a rest that the store asks for, so that a wrong value can't cut the node off from it for good.
	maxStoreRest = time.Minute
)

func main() { os.Exit(start()) }

func start() int {
	// Registered first, since SIGHUP ends a process that has not.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	path := flag.String("config", "", "path of the settings `file`; without it, where the platform has placed it")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(buildinfo.String())
		return exitOK
	}
	if *path == "" {
		*path = platform.SettingsPath()
	}
	settings, err := entrynode.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(settings, *path, reloads)
}

func serve(settings entrynode.Settings, path string, reloads <-chan os.Signal) int {
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	level := logging.NewLevel(settings.Log.Level)
	log := zerolog.New(logging.LevelFilter{Writer: out, Level: level}).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go reload(ctx, path, reloads, level, log)
	client := platform.NewClient(settings.Store, onesend.New(onesend.Options{
		DialTimeout: storeDialTimeout, DeadPeerTimeout: storeSilentTimeout,
		MaxRest: maxStoreRest, RestStatuses: platform.RefusalStatuses, OnRest: onesend.LogRests(log),
	}))
	node, err := entrynode.New(settings, entrynode.Adapters{Protocol: platform.HeaderCodec{}, Source: client, Registry: client}, log)
	if err != nil {
		log.Error().Err(err).Msg("cannot start node")
		return exitFailure
	}
	if err := node.Run(ctx); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailure
	}
	return exitOK
}

// reload reloads the settings on each signal. Only the log level takes effect at once; all other settings need a
// restart.
func reload(ctx context.Context, path string, signals <-chan os.Signal, level *logging.Level, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		settings, err := entrynode.Load(path)
		if err != nil {
			log.Error().Err(err).Msg("settings reload failed; keeping the current settings")
			continue
		}
		level.Set(settings.Log.Level)
		log.Info().Str("level", settings.Log.Level).Msg("settings reloaded")
	}
}
