// Package entrynode is a node of the request path as a process: it puts the parts together, listens, follows the store
// and ends gracefully. It is a library; the program that uses it chooses the protocol and the store.
package entrynode

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"hawthornrill.example/hawthornrill/domain"
)

// Settings tell a node who and where it is, and the bounds that the operators set.
type Settings struct {
	// Node is this host's name, unique over all data centres.
	Node domain.NodeID `toml:"node"`
	// DataCentre is where this host stands.
	DataCentre domain.DataCentre `toml:"data_centre"`
	Listen     Listen            `toml:"listen"`
	// Store is the address of the platform's store, "IP:port".
	Store string `toml:"store"`
	Host  Host   `toml:"host"`
	Keys  Keys   `toml:"keys"`
	// Configuration bounds how long an earlier configuration may be served by.
	Configuration Configuration `toml:"configuration"`
	Retry         Retry         `toml:"retry"`
	Limit         Limit         `toml:"limit"`
	Log           Log           `toml:"log"`
	Shutdown      Shutdown      `toml:"shutdown"`
}

// Listen holds the addresses that the process listens on, "IP:port".
type Listen struct {
	Callers string `toml:"callers"`
	// Ready tells the balancer whether the node takes requests.
	Ready string `toml:"ready"`
	// Peers takes the other nodes' reports, as datagrams.
	Peers string `toml:"peers"`
	// Operators serves metrics and the state dump; empty for none.
	Operators string `toml:"operators"`
}

// Host holds the limits of the host.
type Host struct {
	MemoryMB int `toml:"memory_mb"`
	MaxFiles int `toml:"max_files"`
}

// Keys bounds the use of organisations' keys.
type Keys struct {
	// Strict says that a key that was taken away must stop working within MaxAgeMS at each node, cut off or not.
	Strict   bool    `toml:"strict"`
	MaxAgeMS float64 `toml:"max_age_ms"`
}

// Configuration bounds the time until an accepted configuration is in force.
type Configuration struct {
	// ApplyMS is that time in milliseconds; 0 for no bound.
	ApplyMS float64 `toml:"apply_ms"`
}

// Retry bounds how often requests are sent to a second endpoint, over all nodes.
type Retry struct {
	Ratio   float64 `toml:"ratio"`
	WindowS float64 `toml:"window_s"`
	Slack   float64 `toml:"slack"`
}

// Limit tells how organisations' limits are measured.
type Limit struct {
	// WindowS is the time in seconds in which rate x window + burst may be used.
	WindowS float64 `toml:"window_s"`
}

// Log tells what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Shutdown bounds a graceful end.
type Shutdown struct {
	// GraceS is the time from the signal until the process is killed.
	GraceS float64 `toml:"grace_s"`
}

// ErrSettings is wrapped by the errors of Load.
var ErrSettings = errors.New("settings")

// Load reads and checks a file. Fields that it does not know are ignored.
func Load(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if err := toml.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	return s, nil
}

// Defaults of the settings.
const (
	// defaultGrace is how long the platform waits between the two signals, if the settings do not say.
	defaultGrace = 8 * time.Second
	// defaultRetryWindow and defaultRetryRatio bound retries if the settings do not.
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.1
	// defaultLimitWindow is over how long limits are measured if the settings do not say.
	defaultLimitWindow = time.Second
)

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node: a name is required")
	}
	if s.DataCentre == "" {
		return errors.New("data_centre: a name is required")
	}
	addresses := []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers},
		{"store", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s = %q: an address of the form IP:port is required", a.name, a.value)
		}
	}
	if s.Keys.Strict && s.Keys.MaxAgeMS <= 0 {
		return fmt.Errorf("keys.max_age_ms = %v: a time is required where keys.strict is set", s.Keys.MaxAgeMS)
	}
	if s.Configuration.ApplyMS < 0 {
		return fmt.Errorf("configuration.apply_ms = %v: a time must not be negative", s.Configuration.ApplyMS)
	}
	if s.Retry.Ratio <= 0 {
		s.Retry.Ratio = defaultRetryRatio
	}
	if s.Retry.WindowS <= 0 {
		s.Retry.WindowS = defaultRetryWindow.Seconds()
	}
	if s.Limit.WindowS <= 0 {
		s.Limit.WindowS = defaultLimitWindow.Seconds()
	}
	if s.Shutdown.GraceS <= 0 {
		s.Shutdown.GraceS = defaultGrace.Seconds()
	}
	return nil
}

// seconds converts a setting.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
