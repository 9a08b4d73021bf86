package demo

import (
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// Options configure a Demo.
type Options struct {
	Deployment *deployment.Deployment
	Log        zerolog.Logger
	// Engine makes the options of the stand-in of an engine; nil for the speed of its
	// generation.
	Engine func(row *config.EndpointRow) engine.Options
}
