package daemon

import (
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/settings"
)

// Options configure a Daemon. Settings must have been checked.
type Options struct {
	Settings settings.Settings
	Log      zerolog.Logger
}
