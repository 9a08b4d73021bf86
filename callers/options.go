package callers

import "time"

// UnusedBeforeClose is how long a connection must be unused before a draining server closes it. A caller that was not asked to
// close it, because its response had begun before the drain, may send its next request meanwhile and is refused.
const UnusedBeforeClose = 200 * time.Millisecond

const (
	// handshakePeriod is how long a draining server waits for connections that are being established before it closes its
	// listener. New ones are ignored meanwhile; a caller's kernel tries again a second later and is refused.
	handshakePeriod = 20 * time.Millisecond
	// neverUsedTimeout is how long a draining server keeps a connection open on which no request has arrived.
	neverUsedTimeout = 5 * time.Second
	// finalReadTimeout is how long the caller of an idle connection has to close it after the final response.
	finalReadTimeout = 500 * time.Millisecond
	// requestCost is the estimated memory of a request in progress in bytes, beside its head and body: its goroutines and buffers.
	requestCost = 16 << 10
	// smallHeadCost is the cost up to which a head may use the whole budget, largeHeadPart the part of it that others may use.
	smallHeadCost = 32 << 10
	largeHeadPart = 0.5
	// headMargin is added to the limit for heads in bytes: it need not count the request line and the ends of lines.
	headMargin = 1 << 10
	// readBufferBytes is the size of net/http's buffer for reads, minLineBytes that of the shortest line that is not empty.
	readBufferBytes = 4 << 10
	minLineBytes    = 3
	// defaultHeadTimeout limits the time to read a head if the configuration does not.
	defaultHeadTimeout = 5 * time.Second
	// slowAfter is the time after which a head, or a body below minBodyRate in bytes a second, is too slow if there is no room for others.
	slowAfter   = time.Second
	minBodyRate = 4 << 10
	// reclaimInterval is the shortest interval between two searches for connections to close.
	reclaimInterval = 100 * time.Millisecond
	// idlePart is the part, one in so many, of the idle connections that are closed at a time.
	idlePart = 16
	// closePollInterval is the interval at which a draining server checks the use of its connections.
	closePollInterval = 10 * time.Millisecond
	// idleTimeoutMargin is added to the idle timeout in the configuration, since callers reuse connections for almost that
	// long.
	idleTimeoutMargin = 2 * time.Second
)
