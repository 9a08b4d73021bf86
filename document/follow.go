package document

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// followHints fetches announced versions, one after another.
func (r *replica) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-r.hints:
			r.follow(ctx, h)
		}
	}
}

// follow fetches an announced version and hands the announcement on.
func (r *replica) follow(ctx context.Context, h hint) {
	if h.stamp.After(r.stamp()) {
		r.fetch(ctx, h)
	}
	if r.inForce.Load() == nil && r.latest.Load() != nil {
		r.fetchGood(ctx, h.from)
	}
	if h.root != "" && !h.stamp.After(r.stamp()) {
		r.forward(ctx, h.root, h.stamp)
	}
}

// fetch pulls from the announcer, or else from another node of the data centre.
func (r *replica) fetch(ctx context.Context, h hint) {
	got, err := r.pull(ctx, h.from, false)
	if err != nil {
		other, ok := r.service.peers().anyLocal()
		if !ok {
			return
		}
		h.from = other
		got, err = r.pull(ctx, other, false)
	}
	if err != nil || got == nil || !r.adopt(got) {
		return
	}
	if h.root == "" {
		r.service.meters.healed.Inc()
	}
	if h.from.DataCentre != r.service.options.Transport.Self().DataCentre {
		r.announceLocal(ctx)
	}
}

// fetchGood takes the version that a peer has in force, for a node that has
// started while the latest one can't be applied.
func (r *replica) fetchGood(ctx context.Context, from domain.Member) {
	good, err := r.pull(ctx, from, true)
	if err == nil && good != nil {
		r.adoptGood(good)
	}
}

// announceLocal tells the data centre of the version held, as the root of a tree.
func (r *replica) announceLocal(ctx context.Context) {
	r.forward(ctx, r.service.options.Transport.Self().Node, r.stamp())
}

// announceRemote tells the heads of the other data centres, unless they watch the
// store themselves.
func (r *replica) announceRemote(ctx context.Context) {
	if len(r.spec.WatchDataCentres) == 0 {
		return
	}
	message := announcement{Name: r.spec.Name, Stamp: r.stamp()}
	for _, to := range r.service.peers().remoteHeads(r.spec.Name, r.service.options.Watchers) {
		r.service.send(ctx, to, methodAnnounce, message)
	}
}

// forward hands an announcement on to this node's children in the root's tree.
func (r *replica) forward(ctx context.Context, root domain.NodeID, stamp Stamp) {
	if !r.firstForward(root, stamp) {
		return
	}
	p := r.service.peers()
	message := announcement{Name: r.spec.Name, Stamp: stamp, Root: root}
	for _, child := range treeChildren(root, p.self.Node, stamp.Generation, p.local, r.service.options.Fanout) {
		r.service.send(ctx, child, methodAnnounce, message)
	}
}

// send announces; a lost announcement is healed by anti-entropy.
func (s *Service) send(ctx context.Context, to domain.Member, method peer.Method, message announcement) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	if err := peer.Send(ctx, s.options.Transport, to, method, message); err != nil {
		s.options.Logger.Debug().Stringer("to", to).Err(err).Msg("announcement not sent")
	}
}
