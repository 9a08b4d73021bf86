package document

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// processHints processes queued hints sequentially until the context ends.
func (r *replica) processHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-r.hints:
			r.processHint(ctx, h)
		}
	}
}

// processHint fetches the version of a hint and forwards its announcement.
func (r *replica) processHint(ctx context.Context, h hint) {
	if h.stamp.After(r.stamp()) {
		r.fetch(ctx, h)
	}
	if r.inForce.Load() == nil && r.latest.Load() != nil {
		r.fetchLastGood(ctx, h.from)
	}
	if h.treeRoot != "" && !h.stamp.After(r.stamp()) {
		r.forward(ctx, h.treeRoot, h.stamp)
	}
}

// fetch pulls from the peer named in the hint and, if that fails, from a random node
// of the data centre.
func (r *replica) fetch(ctx context.Context, h hint) {
	pulled, err := r.pull(ctx, h.from, false)
	if err != nil {
		other, ok := r.service.peers().randomLocal()
		if !ok {
			return
		}
		h.from = other
		pulled, err = r.pull(ctx, other, false)
	}
	if err != nil || pulled == nil || !r.adopt(pulled) {
		return
	}
	if h.treeRoot == "" {
		r.service.counters.antiEntropyFetches.Inc()
	}
	if h.from.DataCentre != r.service.options.Transport.Self().DataCentre {
		r.announceLocal(ctx)
	}
}

// fetchLastGood pulls and applies the version that a peer has in force. It is for a
// node that started while the latest version can't be applied.
func (r *replica) fetchLastGood(ctx context.Context, from domain.Member) {
	good, err := r.pull(ctx, from, true)
	if err == nil && good != nil {
		r.applyLastGood(good)
	}
}

// announceLocal announces the version held to the data centre, with this node as the
// root of the broadcast tree.
func (r *replica) announceLocal(ctx context.Context) {
	r.forward(ctx, r.service.options.Transport.Self().Node, r.stamp())
}

// announceRemote announces the version held to the representatives of the other data
// centres, unless every data centre watches the store.
func (r *replica) announceRemote(ctx context.Context) {
	if len(r.spec.WatchDataCentres) == 0 {
		return
	}
	message := announcement{Name: r.spec.Name, Stamp: r.stamp()}
	for _, to := range r.service.peers().remoteRepresentatives(r.spec.Name, r.service.options.Watchers) {
		r.service.send(ctx, to, methodAnnounce, message)
	}
}

// forward sends an announcement to this node's children in the broadcast tree, unless
// that has been done.
func (r *replica) forward(ctx context.Context, root domain.NodeID, stamp Stamp) {
	if !r.markForwarded(root, stamp) {
		return
	}
	p := r.service.peers()
	message := announcement{Name: r.spec.Name, Stamp: stamp, TreeRoot: root}
	for _, child := range treeChildren(root, p.self.Node, stamp.Generation, p.local, r.service.options.Fanout) {
		r.service.send(ctx, child, methodAnnounce, message)
	}
}

// send sends an announcement. Errors are only logged, because anti-entropy recovers
// from lost announcements.
func (s *Service) send(ctx context.Context, to domain.Member, method peer.Method, message announcement) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	if err := peer.Send(ctx, s.options.Transport, to, method, message); err != nil {
		s.options.Logger.Debug().Stringer("to", to).Err(err).Msg("sending announcement failed")
	}
}
