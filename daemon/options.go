package daemon

import (
	"net"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/settings"
)

// Options configure a Daemon. Settings must have been validated.
type Options struct {
	Settings settings.Settings
	Log      zerolog.Logger
	// Peers is an open listener to use in place of the setting listen.peers, for
	// programs that need the addresses of all nodes before they start them. It may be
	// nil.
	Peers net.Listener
}
