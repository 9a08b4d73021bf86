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

// Path is where the transport's HTTP handler expects links.
const Path = "/peer"

const (
	// DefaultMaxFrameBytes bounds a frame.
	DefaultMaxFrameBytes = 4 << 20
	// DefaultMaxQueuedBytes bounds what waits to be written on a link.
	DefaultMaxQueuedBytes = 16 << 20
	// DefaultMaxOutstanding bounds the calls waiting on a link, in each direction.
	DefaultMaxOutstanding = 4096
	// DefaultIdleTimeout is after how long without a frame a link is closed.
	DefaultIdleTimeout = 3 * time.Minute
	// DefaultPingInterval is after how long of silence a link with outstanding calls
	// is pinged, DefaultPingTimeout how long the answer may take.
	DefaultPingInterval = 5 * time.Second
	DefaultPingTimeout  = 5 * time.Second
	// DefaultWriteTimeout bounds the writing of one frame.
	DefaultWriteTimeout = 10 * time.Second
	// DefaultDialTimeout bounds dialling with all handshakes, also on the side that
	// accepts.
	DefaultDialTimeout = 5 * time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the time between dials of a node
	// that does not answer.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// Options configure a Transport. Zero values get defaults.
type Options struct {
	// Self is this process's life; its address is that of the peer listener.
	Self domain.Member
	// Credentials for mutual TLS; nil for plain links, on loopback only.
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
	// Metrics gets the transport's metrics; nil for a set of its own.
	Metrics *metrics.Set
}

// withDefaults fills in what is zero.
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
