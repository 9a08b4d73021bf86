package demo

import (
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/deployment"
)

// Options configure a Demo.
type Options struct {
	Deployment *deployment.Deployment
	Log        zerolog.Logger
}
