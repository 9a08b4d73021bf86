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
	// soonAgain is the mean time to the next comparison after a difference.
	soonAgain = 300 * time.Millisecond
	// bootstrapParallel bounds the peers asked at a time by a node that starts.
	bootstrapParallel = 16
	// bootstrapRemote is how many nodes of each other data centre it asks.
	bootstrapRemote = 2
)

// antiEntropy compares with a random peer from time to time, and soon again
// after a difference: where one was missed there may be more.
func (s *Service) antiEntropy(ctx context.Context) error {
	s.bootstrap(ctx)
	wait := s.nextComparison()
	for pacing.Sleep(ctx, wait) {
		differed := s.compareWithSomeone(ctx)
		wait = s.nextComparison()
		if differed {
			wait = min(wait, jitter(soonAgain))
		}
	}
	return nil
}

// nextComparison is the time to the next comparison, shorter while something is
// missing altogether.
func (s *Service) nextComparison() time.Duration {
	mean := s.options.AntiEntropyInterval
	if s.Ready() != nil {
		mean = min(mean, s.options.SupervisionInterval)
	}
	return mean/2 + jitter(mean/2)
}

// bootstrap asks the data centre's other nodes, and some of each other data
// centre, for what they hold, and takes the highest of each document.
func (s *Service) bootstrap(ctx context.Context) {
	best := s.askForBest(ctx, s.bootstrapPeers())
	for name, h := range best {
		if r, err := s.replica(name); err == nil {
			r.follow(ctx, h)
		}
	}
	s.bootstrapped.Store(true)
}

func (s *Service) bootstrapPeers() []domain.Member {
	p := s.peers()
	asked := p.others()
	for _, members := range p.remote {
		members = slices.Clone(members)
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		asked = append(asked, firstOf(members, bootstrapRemote)...)
	}
	return asked
}

// askForBest returns the highest version of each document and who has it.
func (s *Service) askForBest(ctx context.Context, asked []domain.Member) map[string]hint {
	var mu sync.Mutex
	best := make(map[string]hint)
	var group errgroup.Group
	group.SetLimit(bootstrapParallel)
	for _, to := range asked {
		group.Go(func() error {
			reply, err := call[digestRequest, digestReply](ctx, s, to, methodDigest, digestRequest{})
			if err != nil {
				return nil // A peer that doesn't answer has nothing to offer.
			}
			mu.Lock()
			defer mu.Unlock()
			for name, stamp := range reply.Stamps {
				if stamp.After(best[name].stamp) {
					best[name] = hint{stamp: stamp, from: to}
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return best
}

// compareWithSomeone compares with a random peer and mends differences on
// either side. It reports whether there were any.
func (s *Service) compareWithSomeone(ctx context.Context) (differed bool) {
	to, ok := s.choosePeer()
	if !ok {
		return false
	}
	mine := s.stamps()
	request := digestRequest{Sum: sumOf(mine)}
	if !s.bootstrapped.Load() || s.Ready() != nil {
		request.Sum = 0
	}
	reply, err := call[digestRequest, digestReply](ctx, s, to, methodDigest, request)
	if err != nil {
		return false
	}
	for name, theirs := range reply.Stamps {
		if r, err := s.replica(name); err == nil {
			differed = r.mend(ctx, to, theirs) || differed
		}
	}
	return differed
}

// mend fetches what the peer has and this node lacks, or tells it the opposite.
func (r *replica) mend(ctx context.Context, to domain.Member, theirs Stamp) (differed bool) {
	mine := r.stamp()
	switch {
	case theirs.After(mine), r.inForce.Load() == nil && theirs.Generation > 0:
		r.offer(hint{stamp: theirs, from: to})
	case mine.After(theirs):
		r.service.send(ctx, to, methodOffer, announcement{Name: r.spec.Name, Stamp: mine})
	}
	return theirs != mine
}

// choosePeer returns a random peer of the data centre. A node that speaks for its
// data centre about some document turns to another data centre every second time.
func (s *Service) choosePeer() (domain.Member, bool) {
	s.rounds++
	p := s.peers()
	if s.rounds%2 == 0 && s.isHeadOfAny(p) {
		if to, ok := p.anyPartner(s.options.Watchers); ok {
			return to, true
		}
	}
	if to, ok := p.anyLocal(); ok {
		return to, true
	}
	return p.anyPartner(s.options.Watchers)
}

func (s *Service) isHeadOfAny(p peers) bool {
	return slices.ContainsFunc(s.all(), func(r *replica) bool {
		return p.isHead(r.spec.Name, s.options.Watchers)
	})
}

// stamps returns the stamps of all documents held.
func (s *Service) stamps() map[string]Stamp {
	stamps := make(map[string]Stamp)
	for _, r := range s.all() {
		stamps[r.spec.Name] = r.stamp()
	}
	return stamps
}

// sumOf hashes the stamps; it is never zero.
func sumOf(stamps map[string]Stamp) uint64 {
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(stamps)) {
		stamp := stamps[name]
		_, _ = digest.WriteString(name)
		_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{0}, stamp.Generation))
		_, _ = digest.Write(stamp.Edit[:])
	}
	return max(digest.Sum64(), 1)
}
