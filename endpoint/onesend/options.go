package onesend

import (
	"crypto/tls"
	"net"
	"time"

	"hawthornrill.example/hawthornrill/netdial"
)

// Options are the settings of a Transport. New fills in the defaults.
type Options struct {
	// DialTimeout bounds the making of a connection. Default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is for how long an unused connection is kept. It should be shorter
	// than the endpoints' own. Default 30 s.
	IdleTimeout time.Duration
	// IdlePerHost is the number of unused connections kept to one endpoint. Default 64.
	IdlePerHost int
	// DeadPeerTimeout is how long a connection may be silent at the level of TCP before it is taken for dead. Zero leaves it
	// to the kernel.
	DeadPeerTimeout time.Duration
	// TLS is used for https addresses; nil for the defaults.
	TLS *tls.Config
}

const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultIdlePerHost = 64
	keepAlivePeriod    = 15 * time.Second
)

// dialer returns the dialer of the options.
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
	if o.IdlePerHost == 0 {
		o.IdlePerHost = defaultIdlePerHost
	}
	return o
}
