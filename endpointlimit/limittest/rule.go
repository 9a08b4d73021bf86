// Package limittest holds what tests of endpoints' limits check: the users' rule on what an endpoint gets that names one.
package limittest

import "time"

const (
	// Window is the time over which a limit is measured.
	Window = 4 * time.Second
	// SlackRequests is the number of requests in a window that are allowed whatever the limit.
	SlackRequests = 5
	// factor is how many times its limit an endpoint may get.
	factor = 1.5
)

// MaxRequests is the most requests that an endpoint with a limit of so many a second may get in a Window from all nodes.
func MaxRequests(perSecond float64) float64 { return factor*Window.Seconds()*perSecond + SlackRequests }

// MaxInWindow is the largest number of the instants, which are in order, within a Window.
func MaxInWindow[T interface{ Sub(T) time.Duration }](instants []T) int {
	most, first := 0, 0
	for i, at := range instants {
		for at.Sub(instants[first]) > Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
