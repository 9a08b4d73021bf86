package follow

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store"
)

// Registry registers nodes in the store.
type Registry interface {
	// Register lists the node under a new lease. It replaces an existing entry.
	Register(ctx context.Context, self Peer, ttl time.Duration) (store.LeaseID, error)
	// Renew extends the lease. It returns store.ErrLeaseNotFound if the lease has expired.
	Renew(ctx context.Context, lease store.LeaseID) error
	// Unregister ends the lease and removes the entry.
	Unregister(ctx context.Context, lease store.LeaseID) error
}

const (
	// registrationTTL is how long a node that is gone remains listed. Until then the others include it when they divide shared
	// limits.
	registrationTTL = 12 * time.Second
	// renewInterval leaves time for two more attempts before the lease expires.
	renewInterval = 4 * time.Second
	// registryTimeout is the timeout of a call.
	registryTimeout    = time.Second
	registerRetryDelay = time.Second
)

// Announcer keeps a node listed in the store.
type Announcer struct {
	Registry Registry
	Self     Peer
	Log      zerolog.Logger
	// Registered is closed once the node has been listed. It must not be nil.
	Registered chan struct{}

	lease      store.LeaseID
	registered bool
}

// Run keeps the node listed until the context ends, and then unregisters it.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		wait := renewInterval
		if err := a.renew(ctx); err != nil && ctx.Err() == nil {
			wait = registerRetryDelay
			a.Log.Warn().Err(err).Msg("failed to register the node in the store")
		}
		if !pacing.Sleep(ctx, wait) {
			a.unregister(ctx)
			return ctx.Err()
		}
	}
}

func (a *Announcer) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if a.lease != 0 {
		err := a.Registry.Renew(ctx, a.lease)
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return err
		}
		a.lease = 0
	}
	lease, err := a.Registry.Register(ctx, a.Self, registrationTTL)
	if err != nil {
		return err
	}
	a.lease = lease
	if !a.registered {
		a.registered = true
		close(a.Registered)
	}
	a.Log.Info().Uint64("lease", uint64(lease)).Msg("node registered in the store")
	return nil
}

func (a *Announcer) unregister(ctx context.Context) {
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registryTimeout)
	defer cancel()
	if err := a.Registry.Unregister(ctx, a.lease); err != nil {
		a.Log.Warn().Err(err).Msg("failed to unregister the node, it stays listed until its lease expires")
	}
}
