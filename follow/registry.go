package follow

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store"
)

// Registry lists nodes in the store.
type Registry interface {
	// Register lists the node under a new lease. Doing so again replaces the entry.
	Register(ctx context.Context, self Peer, ttl time.Duration) (store.LeaseID, error)
	// Renew extends the lease, or returns store.ErrLeaseNotFound.
	Renew(ctx context.Context, lease store.LeaseID) error
	// Unregister ends the lease and removes the entry.
	Unregister(ctx context.Context, lease store.LeaseID) error
}

const (
	// registrationTTL is how long a node that is gone stays listed. Until then the others count it in what they may use.
	registrationTTL = 12 * time.Second
	// renewEvery leaves two more tries before the lease ends.
	renewEvery = 4 * time.Second
	// registryTimeout bounds a call.
	registryTimeout = time.Second
	// registerRetry is the pause after a failure.
	registerRetry = time.Second
)

// Announcer keeps a node listed.
type Announcer struct {
	Registry Registry
	Self     Peer
	Log      zerolog.Logger
	// Listed is closed once the node has been listed. It must not be nil.
	Registered chan struct{}

	lease  store.LeaseID
	listed bool
}

// Run lists the node until the context ends, and then takes it off the list.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		wait := renewEvery
		if err := a.renew(ctx); err != nil && ctx.Err() == nil {
			wait = registerRetry
			a.Log.Warn().Err(err).Msg("node is not listed in the store")
		}
		if !pacing.Sleep(ctx, wait) {
			a.leave(ctx)
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
	if !a.listed {
		a.listed = true
		close(a.Registered)
	}
	a.Log.Info().Uint64("lease", uint64(lease)).Msg("node listed in the store")
	return nil
}

func (a *Announcer) leave(ctx context.Context) {
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registryTimeout)
	defer cancel()
	if err := a.Registry.Unregister(ctx, a.lease); err != nil {
		a.Log.Warn().Err(err).Msg("node stays listed until its lease ends")
	}
}
