package onesend

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/netdial"
)

// Options configures a Transport. Zero values mean defaults.
type Options struct {
	// DialTimeout limits the time to open a connection. Default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It should be shorter than the endpoints'
	// own idle timeout. Default 30 s.
	IdleTimeout time.Duration
	// IdlePerHost is the maximum number of idle connections to one endpoint. Default 64.
	IdlePerHost int
	// DeadPeerTimeout is how long the peer may be silent at the TCP level before the connection counts
	// as dead. Zero leaves this to the kernel.
	DeadPeerTimeout time.Duration
	// MaxRest bounds the rests that hosts ask for. Zero means that they are not kept.
	MaxRest time.Duration
	// RestStatuses are the statuses of refusals that may ask for a rest. Default 503: 429 may concern
	// a single caller of the host.
	RestStatuses []int
	// OnRest is called with each refusal that asks for a rest. It may be nil.
	OnRest func(Rest)
	// TLS configures https connections; nil means defaults.
	TLS *tls.Config
}

const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultIdlePerHost = 64
	keepAlivePeriod    = 15 * time.Second
)

func (o Options) dialer() *dialer {
	if o.DeadPeerTimeout > 0 {
		return &dialer{*netdial.New(o.DialTimeout, o.DeadPeerTimeout)}
	}
	return &dialer{netdial.Dialer{Dialer: net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAlivePeriod}}}
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if len(o.RestStatuses) == 0 {
		o.RestStatuses = []int{http.StatusServiceUnavailable}
	}
	if o.IdlePerHost == 0 {
		o.IdlePerHost = defaultIdlePerHost
	}
	return o
}
