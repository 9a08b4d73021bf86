package gossip

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// EndedAnswer is an answer that broke off AgeMillis milliseconds ago, because its endpoint ended, TookMillis after the request was sent there.
// Scope, Parts, Request and Endpoint are hashes. Early is true if the answer had not got far; otherwise there are no parts.
type EndedAnswer struct {
	_          struct{} `cbor:",toarray"`
	Scope      uint64
	Service    string
	Parts      []uint64
	Request    uint64
	Endpoint   uint64
	AgeMillis  int64
	TookMillis int64
	Early      bool
}

// SoundPart is a part of a prompt on which an answer got far AgeMillis milliseconds ago.
type SoundPart struct {
	_         struct{} `cbor:",toarray"`
	Scope     uint64
	Part      uint64
	AgeMillis int64
}

// AliveEndpoint is an endpoint that answered a request that was sent to it AgeMillis milliseconds ago.
type AliveEndpoint struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint64
	AgeMillis int64
}

// CrashParts are parts of prompts that end endpoints together. AgeMillis is the time in milliseconds since that was found, cleared or last
// confirmed.
type CrashParts struct {
	_         struct{} `cbor:",toarray"`
	Scope     uint64
	Parts     []uint64
	AgeMillis int64
	Cleared   bool
}

const (
	// crashPartsInterval is the least time between two reports to a peer with all identified parts, crashPartsPerSecond the number of peers to
	// which these are sent in a second, so that a difference that stays costs a bounded rate of bytes.
	crashPartsInterval  = time.Second
	crashPartsPerSecond = 16
)

// lacksCrashParts reports whether the peer must be sent the identified parts of the report.
func (m *Mesh) lacksCrashParts(id domain.NodeID, report *Report) bool {
	now := m.deps.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil || p.partsDigest == report.PartsDigest || p.partsSentAt > 0 && now.Sub(p.partsSentAt) < crashPartsInterval {
		return false
	}
	if now.Sub(m.partsSince) >= time.Second {
		m.partsSince, m.partsSent = now, 0
	}
	if m.partsSent >= crashPartsPerSecond {
		return false
	}
	m.partsSent++
	p.partsSentAt = now
	return true
}
