package daemon

import (
	"net"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/settings"
)

// Options configure a Daemon. Settings must have been checked.
type Options struct {
	Settings settings.Settings
	Log      zerolog.Logger
	// Peers is an open listener to use in place of listen.peers, for a process that
	// must know all nodes' addresses before it starts them; nil for none.
	Peers net.Listener
}
