package demo

import (
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// Options configures a Demo.
type Options struct {
	Deployment *deployment.Deployment
	Log        zerolog.Logger
	// Engine returns the options of an engine's stand-in. If nil, a stand-in has the
	// speed of its hardware generation.
	Engine func(row *config.EndpointRow) engine.Options
}
