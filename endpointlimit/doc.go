// Package endpointlimit keeps the request-rate limits that endpoints advertise, each over all nodes together.
//
// An endpoint advertises its limit in its responses, for as long as it applies. Each node learns it from the responses that it
// receives and from the other nodes' reports; the latest advertisement wins, whichever node received it. Some of the nodes then
// share the limit, each with a token bucket of its own, and no message is needed before a request.
//
// Guarantees under failure. In any time t, the nodes that know of a limit together send at most (t + burstSeconds) times the
// limit (one request at least), even if they don't receive each other's reports. A node that sends no reports keeps its share
// until its peers forget it. A restarted node sends without a limit until it learns of the limit, and then starts with an empty
// bucket.
package endpointlimit
