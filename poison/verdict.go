package poison

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// verdict is an identification: prompts of the scope that have all the parts end endpoints.
type verdict struct {
	scope uint64
	// parts are in order of their hashes.
	parts []uint64
	// ends is the number of endpoints whose ends led to it, 0 if another node made it.
	ends int
	// at is when it was made, cleared or last extended.
	at      time.Time
	cleared bool
}

func newVerdict(s *suspect, parts []uint64, now time.Time) verdict {
	return verdict{scope: s.scope, parts: parts, ends: len(s.endpoints), at: now}
}

func (v *verdict) inForce() bool { return !v.cleared }

// id identifies the scope and the parts.
func (v *verdict) id() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, v.scope)
	for _, part := range v.parts {
		b = binary.LittleEndian.AppendUint64(b, part)
	}
	return xxhash.Sum64(b)
}

// includes reports whether the identification refuses all that the other one does, and more.
func (v *verdict) includes(o verdict) bool {
	return v.inForce() && o.inForce() && v.scope == o.scope && len(v.parts) < len(o.parts) && containsAll(o.parts, v.parts)
}

// isIn reports whether the identification is one of those in force.
func (v *verdict) isIn(list []verdict) bool {
	return slices.ContainsFunc(list, func(o verdict) bool { return o.inForce() && o.scope == v.scope && slices.Equal(o.parts, v.parts) })
}

// expired reports whether the verdict is no longer needed.
func (v *verdict) expired(now time.Time) bool {
	if v.cleared {
		return now.Sub(v.at) >= tombstoneRetention
	}
	return now.Sub(v.at) >= retention
}
