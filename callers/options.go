package callers

import "time"

const (
	// handshakePeriod is how long a draining server waits for connections that are being established before it closes its
	// listener. New ones are ignored meanwhile; a caller's kernel tries again a second later and is refused.
	handshakePeriod = 20 * time.Millisecond
	// neverUsedTimeout is how long a draining server keeps a connection open on which no request has arrived.
	neverUsedTimeout = 5 * time.Second
	// closePollInterval is the interval at which a draining server checks the use of its connections.
	closePollInterval = 10 * time.Millisecond
	// idleTimeoutMargin is added to the idle timeout in the configuration, since callers reuse connections for almost that
	// long.
	idleTimeoutMargin = 2 * time.Second
)
