package dispatch

import (
	"context"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Permit allows one dispatch of one request to one endpoint. Only Authorise
// makes permits.
type Permit struct {
	key      domain.RequestKey
	endpoint domain.EndpointID
	spent    atomic.Bool
}

// Authorise commits the claim at the key's home and returns a permit only after
// the home's acknowledgement. Its errors are those of ledger.Commit.
func Authorise(ctx context.Context, l ledger.Ledger, claim ledger.Claim, endpoint domain.EndpointID) (*Permit, error) {
	if err := l.Commit(ctx, claim, endpoint); err != nil {
		return nil, err
	}
	return &Permit{key: claim.Key, endpoint: endpoint}, nil
}

// spend reports true to the first caller only.
func (p *Permit) spend() bool { return p.spent.CompareAndSwap(false, true) }
