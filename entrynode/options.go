package entrynode

import "time"

const (
	// keyAgeMargin is kept from the bound on the age of keys: the time between the last check and the first byte.
	keyAgeMargin = 100 * time.Millisecond
	// readyMargin is how much younger than the bound the knowledge of the keys must be for a node to count as ready, so
	// that the balancer, which asks once a second and acts on the second miss, turns away before requests are refused.
	readyMargin = 1500 * time.Millisecond
	// applyMargin is kept from the time in which a configuration must be in force: a peer's word of it may be half a second
	// old, the longest pause between reports.
	applyMargin = 500 * time.Millisecond
	// noticeTime is how long a leaving node still takes new connections: the balancer asks once a second and takes a
	// node out after two misses.
	noticeTime = 2600 * time.Millisecond
	// graceMargin is kept from the time at which the process is killed.
	graceMargin = 400 * time.Millisecond
	// memoryPart is the part of the host's memory that the Go runtime is told to keep to; the rest is for the C library,
	// stacks and the kernel's buffers.
	memoryPart = 0.6
	// bodyPart is the part of the host's memory for request bodies.
	bodyPart = 0.2
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// maxHeadBytes bounds a request's head; the configuration's limit is lower.
	maxHeadBytes = 64 << 10
	// idleSweep is how often idle connections are looked at, idleSlack how much longer than the configuration says a
	// caller's connection may be idle, since callers use them for almost as long.
	idleSweep = time.Second
	idleSlack = 2 * time.Second
)
