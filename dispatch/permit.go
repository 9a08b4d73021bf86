package dispatch

import (
	"context"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Permit allows one dispatch of one request to one endpoint. Only Authorise issues permits.
type Permit struct {
	key      domain.RequestKey
	endpoint domain.EndpointID
	used     atomic.Bool
}

// Authorise commits the claim at the key's home and returns a permit only after the home has
// acknowledged the commit. Its errors are those of ledger.Commit.
func Authorise(ctx context.Context, l ledger.Ledger, claim ledger.Claim, endpoint domain.EndpointID) (*Permit, error) {
	if err := l.Commit(ctx, claim, endpoint); err != nil {
		return nil, err
	}
	return &Permit{key: claim.Key, endpoint: endpoint}, nil
}

// use reports true on the first call only.
func (p *Permit) use() bool { return p.used.CompareAndSwap(false, true) }
