// Package limittest holds the bound on requests to an endpoint with an advertised limit, as users measure it, for use in tests.
package limittest

import "time"

const (
	// Window is the time over which a limit is measured.
	Window = 4 * time.Second
	// SlackRequests is the number of requests allowed in a window on top of the limit.
	SlackRequests = 5
	// limitFactor is the multiple of its limit that an endpoint may get.
	limitFactor = 1.5
)

// MaxRequests is the most requests that an endpoint with the limit may get in a Window from all nodes.
func MaxRequests(perSecond float64) float64 {
	return limitFactor*Window.Seconds()*perSecond + SlackRequests
}

// MaxInWindow returns the largest number of instants within a Window. The instants must be in order.
func MaxInWindow[T interface{ Sub(T) time.Duration }](instants []T) int {
	largest, first := 0, 0
	for i, at := range instants {
		for at.Sub(instants[first]) > Window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}
