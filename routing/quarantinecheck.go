package routing

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Quarantine remembers contents that crash endpoints, over all nodes. Fingerprint
// 0 stands for no content. Implementations are quick and safe for concurrent use.
type Quarantine interface {
	// Quarantined returns for how long the content must not be run, 0 if it may be.
	Quarantined(fingerprint uint64) time.Duration
	// Suspect reports whether the content was running where an endpoint crashed.
	Suspect(fingerprint uint64) bool
	// Crashed tells that the content was running where the endpoint crashed, and
	// whether it was alone there.
	Crashed(endpoint domain.EndpointID, fingerprint uint64, alone bool)
	// Completed tells that the content was answered in full.
	Completed(fingerprint uint64)
}

// noQuarantine suspects nothing.
type noQuarantine struct{}

func (noQuarantine) Quarantined(uint64) time.Duration        { return 0 }
func (noQuarantine) Suspect(uint64) bool                     { return false }
func (noQuarantine) Crashed(domain.EndpointID, uint64, bool) {}
func (noQuarantine) Completed(uint64)                        {}
