package poison

import (
	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// Scope is what evidence holds for: the requests of one organisation to one model of one service.
type Scope struct {
	Organisation domain.OrganisationID
	Service      string
	Model        string
}

// Hash identifies the scope.
func (s Scope) Hash() uint64 {
	d := xxhash.New()
	for _, part := range []string{string(s.Organisation), s.Service, s.Model} {
		_, _ = d.WriteString(part + "\n") // never fails
	}
	return d.Sum64()
}

// hashOf identifies a request or an endpoint.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }
