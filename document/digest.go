package document

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// followUpDelay is the mean delay to the next comparison after one that found a
	// difference.
	followUpDelay = 300 * time.Millisecond
	// maxConcurrentBootstrapCalls limits the peers that a starting node queries at once.
	maxConcurrentBootstrapCalls = 16
	// bootstrapPeersPerDataCentre is the number of nodes that a starting node queries in
	// each other data centre.
	bootstrapPeersPerDataCentre = 2
)

// antiEntropy periodically compares stamps with a random peer. After a difference it
// compares again soon, because a node that missed one version may lack others.
func (s *Service) antiEntropy(ctx context.Context) error {
	s.bootstrap(ctx)
	wait := s.comparisonDelay()
	for pacing.Sleep(ctx, wait) {
		differed := s.compareWithRandomPeer(ctx)
		wait = s.comparisonDelay()
		if differed {
			wait = min(wait, jitter(followUpDelay))
		}
	}
	return nil
}

// comparisonDelay returns the delay to the next comparison. It is shorter while the
// node is not ready.
func (s *Service) comparisonDelay() time.Duration {
	mean := s.options.AntiEntropyInterval
	if s.Ready() != nil {
		mean = min(mean, s.options.SupervisionInterval)
	}
	return mean/2 + jitter(mean/2)
}

// bootstrap queries the other nodes of the data centre, and some of each other data
// centre, and fetches the highest version of each document.
func (s *Service) bootstrap(ctx context.Context) {
	highest := s.highestStamps(ctx, s.bootstrapPeers())
	for name, h := range highest {
		if r, err := s.replica(name); err == nil {
			r.processHint(ctx, h)
		}
	}
	s.bootstrapped.Store(true)
}

func (s *Service) bootstrapPeers() []domain.Member {
	p := s.peers()
	queried := p.others()
	for _, members := range p.remote {
		members = slices.Clone(members)
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		queried = append(queried, firstN(members, bootstrapPeersPerDataCentre)...)
	}
	return queried
}

// highestStamps returns the highest stamp of each document among the queried peers,
// with the peer that holds it.
func (s *Service) highestStamps(ctx context.Context, queried []domain.Member) map[string]hint {
	var mu sync.Mutex
	highest := make(map[string]hint)
	var group errgroup.Group
	group.SetLimit(maxConcurrentBootstrapCalls)
	for _, to := range queried {
		group.Go(func() error {
			reply, err := call[digestRequest, digestReply](ctx, s, to, methodDigest, digestRequest{})
			if err != nil {
				return nil // Unreachable peers are skipped.
			}
			mu.Lock()
			defer mu.Unlock()
			for name, stamp := range reply.Stamps {
				if stamp.After(highest[name].stamp) {
					highest[name] = hint{stamp: stamp, from: to}
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return highest
}

// compareWithRandomPeer compares stamps with a random peer, reconciles differences on
// either side and reports whether there were any.
func (s *Service) compareWithRandomPeer(ctx context.Context) (differed bool) {
	to, ok := s.choosePeer()
	if !ok {
		return false
	}
	local := s.stamps()
	request := digestRequest{Sum: hashStamps(local)}
	if !s.bootstrapped.Load() || s.Ready() != nil {
		request.Sum = 0
	}
	reply, err := call[digestRequest, digestReply](ctx, s, to, methodDigest, request)
	if err != nil {
		return false
	}
	for name, remote := range reply.Stamps {
		if r, err := s.replica(name); err == nil {
			differed = r.reconcile(ctx, to, remote) || differed
		}
	}
	return differed
}

// reconcile enqueues a fetch if the peer has a later version, or notifies the peer
// if this node does. It reports whether the stamps differ.
func (r *replica) reconcile(ctx context.Context, to domain.Member, remote Stamp) (differed bool) {
	local := r.stamp()
	switch {
	case remote.After(local), r.inForce.Load() == nil && remote.Generation > 0:
		r.enqueueHint(hint{stamp: remote, from: to})
	case local.After(remote):
		r.service.send(ctx, to, methodOffer, announcement{Name: r.spec.Name, Stamp: local})
	}
	return remote != local
}

// choosePeer returns a random peer of the data centre. On a node that represents its
// data centre for any document, every second comparison is with another data centre.
func (s *Service) choosePeer() (domain.Member, bool) {
	s.comparisons++
	p := s.peers()
	if s.comparisons%2 == 0 && s.representsAny(p) {
		if to, ok := p.randomPartner(s.options.Watchers); ok {
			return to, true
		}
	}
	if to, ok := p.randomLocal(); ok {
		return to, true
	}
	return p.randomPartner(s.options.Watchers)
}

func (s *Service) representsAny(p peers) bool {
	return slices.ContainsFunc(s.sortedReplicas(), func(r *replica) bool {
		return p.isRepresentative(r.spec.Name, s.options.Watchers)
	})
}

// stamps returns the stamps of the latest versions held, by document name.
func (s *Service) stamps() map[string]Stamp {
	stamps := make(map[string]Stamp)
	for _, r := range s.sortedReplicas() {
		stamps[r.spec.Name] = r.stamp()
	}
	return stamps
}

// hashStamps returns a hash of the stamps. It is never zero, because a zero
// digestRequest.Sum asks for all stamps.
func hashStamps(stamps map[string]Stamp) uint64 {
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(stamps)) {
		stamp := stamps[name]
		_, _ = digest.WriteString(name)
		_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{0}, stamp.Generation))
		_, _ = digest.Write(stamp.Edit[:])
	}
	return max(digest.Sum64(), 1)
}
