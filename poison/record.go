package poison

import (
	"slices"
	"time"
)

// record is an answer that broke off.
type record struct {
	scope    uint64
	service  string
	parts    []uint64
	request  uint64
	endpoint uint64
	// startedAt is when the request was sent to the endpoint, endedAt when its answer broke off.
	startedAt, endedAt time.Time
	// early is true if the answer had not got far.
	early bool
	// own is true if the request was this node's. confirmed is true once the endpoint is known to have ended.
	own, confirmed bool
}

// has reports whether the prompt has all the parts.
func (r *record) has(parts []uint64) bool { return containsAll(r.parts, parts) }

func containsAll(list, parts []uint64) bool {
	for _, part := range parts {
		if !slices.Contains(list, part) {
			return false
		}
	}
	return true
}
