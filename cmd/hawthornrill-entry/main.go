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
	// storeDial bounds a new connection to the store, which answers in milliseconds.
	storeDial = 500 * time.Millisecond
	// storeSilence finds a connection to the store that has gone silent while a watch waits on it.
	storeSilence = time.Second
)

func main() { os.Exit(start()) }

func start() int {
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
		fmt.Println("settings are good")
		return exitOK
	}
	return serve(settings, *path)
}

func serve(settings entrynode.Settings, path string) int {
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	level := logging.NewLevel(settings.Log.Level)
	log := zerolog.New(logging.Levelled{Writer: out, Level: level}).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go reload(ctx, path, level, log)
	client := platform.NewClient(settings.Store, onesend.New(onesend.Options{DialTimeout: storeDial, SilentTimeout: storeSilence}))
	node, err := entrynode.New(settings, entrynode.Adapters{Protocol: platform.HeaderCodec{}, Source: client, Registry: client}, log)
	if err != nil {
		log.Error().Err(err).Msg("node can't start")
		return exitFailure
	}
	if err := node.Run(ctx); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailure
	}
	return exitOK
}

// reload reads the settings again at each SIGHUP. The log's level changes at once; everything else needs a restart,
// which the log says.
func reload(ctx context.Context, path string, level *logging.Level, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := entrynode.Load(path)
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded, the old ones stay")
			continue
		}
		level.Set(settings.Log.Level)
		log.Info().Str("level", settings.Log.Level).Msg("settings reloaded")
	}
}
