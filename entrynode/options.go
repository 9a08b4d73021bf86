package entrynode

import "time"

const (
	// keyAgeMargin is subtracted from the maximum age of keys, for the time between the last check and the first byte.
	keyAgeMargin = 100 * time.Millisecond
	// readyKeyAgeMargin is subtracted from the maximum age of keys for readiness, so that the balancer stops sending
	// requests before they are refused. It checks once a second and acts on the second failed check.
	readyKeyAgeMargin = 1500 * time.Millisecond
	// configLagMargin is subtracted from the time within which a configuration must be in force. A peer's report of it may
	// be half a second old, the longest interval between reports.
	configLagMargin = 500 * time.Millisecond
	// drainNoticePeriod is how long a draining node still accepts new connections. The balancer checks once a second and
	// takes a node out after two failed checks.
	drainNoticePeriod = 2600 * time.Millisecond
	// graceMargin is subtracted from the time until the process is killed.
	graceMargin = 400 * time.Millisecond
	// finalResponseTimeout limits the writing of the final responses at the end of the grace period. It is part of
	// graceMargin.
	finalResponseTimeout = 200 * time.Millisecond
	// memoryFraction is the fraction of the host's memory that is set as the memory limit of the Go runtime. The rest is for
	// the C library, stacks and the kernel's buffers.
	memoryFraction = 0.6
	// bodyFraction is the fraction of the host's memory for request bodies.
	bodyFraction = 0.2
	// answerFraction is the fraction of the host's memory for endpoints' responses.
	answerFraction = 0.1
	// headFraction is the fraction of the host's memory for callers' requests in progress and their heads.
	headFraction = 0.15
	// peerHeaderTimeout limits the time to read the head of a request that another node forwards.
	peerHeaderTimeout = 5 * time.Second
	// maxHeaderBytes limits the size of a request head, whatever the configuration says; defaultHeaderBytes does if it sets no limit.
	maxHeaderBytes     = 1 << 20
	defaultHeaderBytes = 64 << 10
	// maxForwardBytes limits the part of the head of a forwarded request that the node that forwards it adds.
	maxForwardBytes = 8 << 10
	// Limits for the ports of the balancer and of the operators: of a request head in bytes, for reading a request, for writing the response
	// and for an idle connection.
	maxPortHeaderBytes = 8 << 10
	portReadTimeout    = 5 * time.Second
	portWriteTimeout   = 30 * time.Second
	portIdleTimeout    = time.Minute
	// peerIdleTimeout is how long a connection over which another node has forwarded requests is kept. It exceeds the time for
	// which that node uses it again.
	peerIdleTimeout = 10 * time.Second
	// idleSweepInterval is the interval between checks for idle connections.
	idleSweepInterval = time.Second
)
