package reach

import "time"

const (
	// suspectAfter is how long nothing may be heard from a service's endpoints, while requests wait there, without a check.
	suspectAfter = 400 * time.Millisecond
	// checkInterval is the least time between two checks of a service.
	checkInterval = 500 * time.Millisecond
	// ConnectTimeout limits the time to open a connection for a check. Data centres are a few milliseconds apart.
	ConnectTimeout = 250 * time.Millisecond
	// maxChecked is the number of endpoints to which a check opens connections, maxCheckedAgain the number of further ones if none
	// of them accepts although the service is heard.
	maxChecked      = 3
	maxCheckedAgain = 6
	// evidenceValidity is how long a node counts as reaching a service after it heard from one of its endpoints.
	evidenceValidity = 2 * time.Second
	// lossValidity is how long another node's report that it has lost a service is answered with evidence of one's own.
	lossValidity = 3 * time.Second
)

// evidence is what a node knows of its own paths to the endpoints of a service.
type evidence struct {
	// heardAt is when an endpoint was last heard from, waitingSince since when requests have waited there, zero if none do.
	heardAt, waitingSince time.Time
	// troubledAt is when an endpoint could last not be reached.
	troubledAt time.Time
	checkedAt  time.Time
	lost       bool
	// wanted is true if other nodes have lost the service and need to know whether this one reaches it.
	wanted bool
}

// needsCheck reports whether connections should be opened to find out whether the endpoints can be reached.
func (e evidence) needsCheck(now time.Time) bool {
	switch {
	case now.Sub(e.checkedAt) < checkInterval:
		return false
	case e.lost:
		return true
	case e.troubledAt.After(e.checkedAt):
		// Also if the service is heard: connections that were open before may live on while new ones fail.
		return true
	case !e.waitingSince.IsZero() && now.Sub(latest(e.heardAt, e.waitingSince)) >= suspectAfter:
		return true
	default:
		return e.wanted && now.Sub(e.heardAt) >= evidenceValidity/2
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
