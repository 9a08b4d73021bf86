package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Quarantine tracks contents that crash endpoints, across all nodes. Fingerprint 0 means no content.
// Implementations must not block and must be safe for concurrent use.
type Quarantine interface {
	// Quarantined returns the remaining quarantine time of the content, 0 if it may run.
	Quarantined(fingerprint uint64) time.Duration
	// Suspect reports whether the content was running on an endpoint when it crashed.
	Suspect(fingerprint uint64) bool
	// Crashed records that the content was running on the endpoint when it crashed, and whether it was
	// the only one there.
	Crashed(endpoint domain.EndpointID, fingerprint uint64, alone bool)
	// Completed records that a request with the content was answered in full.
	Completed(fingerprint uint64)
}

// noQuarantine is a Quarantine that never quarantines or suspects a content.
type noQuarantine struct{}

func (noQuarantine) Quarantined(uint64) time.Duration        { return 0 }
func (noQuarantine) Suspect(uint64) bool                     { return false }
func (noQuarantine) Crashed(domain.EndpointID, uint64, bool) {}
func (noQuarantine) Completed(uint64)                        {}
