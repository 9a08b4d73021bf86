// Package entrynode runs a node of the request path as a process. It creates the components, listens, follows the store
// and shuts down gracefully. The program that uses the package chooses the protocol and the store.
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

// Settings holds the identity and the addresses of a node, and the limits that the operators set.
type Settings struct {
	// Node is this host's name, unique over all data centres.
	Node domain.NodeID `toml:"node"`
	// DataCentre is the data centre of this host.
	DataCentre domain.DataCentre `toml:"data_centre"`
	Listen     Listen            `toml:"listen"`
	// Store is the address of the platform's store, "IP:port".
	Store string `toml:"store"`
	Host  Host   `toml:"host"`
	Keys  Keys   `toml:"keys"`
	// Configuration limits how long an outdated configuration may be used.
	Configuration Configuration `toml:"configuration"`
	Retry         Retry         `toml:"retry"`
	Limit         Limit         `toml:"limit"`
	Log           Log           `toml:"log"`
	Shutdown      Shutdown      `toml:"shutdown"`
}

// Listen holds the addresses that the process listens on, "IP:port".
type Listen struct {
	Callers string `toml:"callers"`
	// Ready serves the balancer's readiness checks.
	Ready string `toml:"ready"`
	// Peers receives the gossip reports of other nodes over UDP.
	Peers string `toml:"peers"`
	// Operators serves the metrics and the state; empty disables it.
	Operators string `toml:"operators"`
}

// Host holds the memory and the file descriptors of the host.
type Host struct {
	MemoryMB int `toml:"memory_mb"`
	MaxFiles int `toml:"max_files"`
}

// memoryBytes returns a fraction of the memory in bytes, zero if the memory is not set.
func (h Host) memoryBytes(fraction float64) int64 {
	return int64(fraction * float64(h.MemoryMB) * (1 << 20))
}

// Keys limits the use of revoked API keys.
type Keys struct {
	// Strict requires that a revoked key stops working within MaxAgeMS on every node, even one that can't reach the store.
	Strict   bool    `toml:"strict"`
	MaxAgeMS float64 `toml:"max_age_ms"`
}

// Configuration limits the time until an accepted configuration is in force.
type Configuration struct {
	// ApplyMS is that time in milliseconds; 0 for no limit.
	ApplyMS float64 `toml:"apply_ms"`
}

// Retry limits the retries of requests on another endpoint, over all nodes.
type Retry struct {
	Ratio   float64 `toml:"ratio"`
	WindowS float64 `toml:"window_s"`
	Slack   float64 `toml:"slack"`
}

// Limit configures how organisations' limits are measured.
type Limit struct {
	// WindowS is the window in seconds within which rate x window + burst may be used.
	WindowS float64 `toml:"window_s"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// GraceS is the time in seconds from the signal until the process is killed.
	GraceS float64 `toml:"grace_s"`
}

// ErrSettings is wrapped by the errors of Load.
var ErrSettings = errors.New("settings")

// Load reads and validates a settings file. Unknown fields are ignored.
func Load(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if err := toml.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	if err := s.validate(); err != nil {
		return s, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	return s, nil
}

// Default values of the settings.
const (
	// defaultGrace is how long the platform waits between the signal to stop and the one that kills the process.
	defaultGrace       = 8 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultLimitWindow = time.Second
)

func (s *Settings) validate() error {
	if s.Node == "" {
		return errors.New("node must be set")
	}
	if s.DataCentre == "" {
		return errors.New("data_centre must be set")
	}
	addresses := []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers},
		{"store", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s = %q: must be an address of the form IP:port", a.name, a.value)
		}
	}
	if s.Keys.Strict && s.Keys.MaxAgeMS <= 0 {
		return fmt.Errorf("keys.max_age_ms = %v: must be above 0 if keys.strict is set", s.Keys.MaxAgeMS)
	}
	if s.Configuration.ApplyMS < 0 {
		return fmt.Errorf("configuration.apply_ms = %v: must not be negative", s.Configuration.ApplyMS)
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

// seconds converts a setting in seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
