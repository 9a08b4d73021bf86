package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/logging"
	"hawthornrill.example/hawthornrill/settings"
	"hawthornrill.example/hawthornrill/standin/server"
)

// serve runs the stand-in until SIGINT or SIGTERM, then lets open requests finish.
func serve(name string, common commonFlags, build builder, stderr io.Writer) error {
	log := logging.New(settings.Log{Level: common.level, Format: "console"}, stderr)
	var main *server.Server
	built := build(func(available bool) {
		log.Info().Bool("up", available).Msg("availability")
		main.SetAvailable(available)
	})
	if built.close != nil {
		defer built.close()
	}
	main, err := server.Listen(common.listen, built.handler)
	if err != nil {
		return err
	}
	var group run.Group
	addServer(&group, main)
	log.Info().Str("kind", name).Str("url", main.URL()).Msg("serving")
	if common.control != "" {
		if err := addControlServer(&group, common.control, built.control, log); err != nil {
			return err
		}
	}
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		log.Info().Err(err).Msg("stopped")
		return nil
	}
	return err
}

func addServer(group *run.Group, s *server.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return s.Run(ctx) }, func(error) { cancel() })
}

func addControlServer(group *run.Group, address string, handler http.Handler, log zerolog.Logger) error {
	control, err := server.Listen(address, handler)
	if err != nil {
		return err
	}
	addServer(group, control)
	log.Info().Str("url", control.URL()).Msg("serving control")
	return nil
}
