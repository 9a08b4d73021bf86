package wslink

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/netdial"
	"hawthornrill.example/hawthornrill/peer/pki"
)

// Path is the URL path at which links are accepted.
const Path = "/peer"

const (
	// DefaultMaxFrameBytes limits the size of a frame.
	DefaultMaxFrameBytes = 4 << 20
	// DefaultMaxQueuedBytes limits the bytes queued for writing on a link.
	DefaultMaxQueuedBytes = 16 << 20
	// DefaultMaxOutstanding limits the outstanding calls on a link in each direction.
	DefaultMaxOutstanding = 4096
	// DefaultIdleTimeout is the time without a frame after which a link is closed.
	DefaultIdleTimeout = 3 * time.Minute
	// DefaultPingInterval is the time without a received frame after which a link with
	// outstanding calls is pinged; DefaultPingTimeout limits the wait for the answer.
	DefaultPingInterval = 5 * time.Second
	DefaultPingTimeout  = 5 * time.Second
	// DefaultWriteTimeout limits the time to write one frame.
	DefaultWriteTimeout = 10 * time.Second
	// DefaultDialTimeout limits the time to open a link with all handshakes, on the
	// dialling and on the accepting end.
	DefaultDialTimeout = 5 * time.Second
	// DefaultMinBackoff and DefaultMaxBackoff are the bounds of the exponential backoff
	// between failed dials of a node.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// Options configure a Transport. Zero values are replaced by defaults.
type Options struct {
	// Self is the member record of this process; its address is that of the peer
	// listener.
	Self domain.Member
	// Credentials for mutual TLS; nil for links without TLS, on loopback only.
	Credentials pki.Credentials
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	MaxFrameBytes  int
	MaxQueuedBytes int
	MaxOutstanding int

	IdleTimeout  time.Duration
	PingInterval time.Duration
	PingTimeout  time.Duration
	WriteTimeout time.Duration
	DialTimeout  time.Duration
	MinBackoff   time.Duration
	MaxBackoff   time.Duration

	Logger zerolog.Logger
	// Metrics is the set in which the transport registers its metrics; nil for a new
	// set.
	Metrics *metrics.Set
}

// withDefaults returns the options with zero values replaced by defaults.
func (o Options) withDefaults() Options {
	defaults.Set(&o.MaxFrameBytes, DefaultMaxFrameBytes)
	defaults.Set(&o.MaxQueuedBytes, DefaultMaxQueuedBytes)
	defaults.Set(&o.MaxOutstanding, DefaultMaxOutstanding)
	defaults.Set(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&o.PingInterval, DefaultPingInterval)
	defaults.Set(&o.PingTimeout, DefaultPingTimeout)
	defaults.Set(&o.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.MinBackoff, DefaultMinBackoff)
	defaults.Set(&o.MaxBackoff, DefaultMaxBackoff)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer netdial.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}
