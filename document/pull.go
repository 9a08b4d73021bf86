package document

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// pull fetches the latest version that a peer holds, or the one it has in force. It
// returns nil if the peer has none, or if its latest is not later than this node's.
func (r *replica) pull(ctx context.Context, from domain.Member, inForce bool) (*loadedVersion, error) {
	r.service.counters.pulls.Inc()
	h, err := r.tryPull(ctx, from, inForce)
	if err != nil {
		r.service.counters.pullErrors.Inc()
		r.service.options.Logger.Debug().Str("document", r.spec.Name).
			Stringer("from", from).Err(err).Msg("pull failed")
	}
	return h, err
}

func (r *replica) tryPull(ctx context.Context, from domain.Member, inForce bool) (*loadedVersion, error) {
	base := r.latest.Load()
	request := pullRequest{Name: r.spec.Name, Base: base.stamp(), InForce: inForce}
	reply, err := call[pullRequest, pullReply](ctx, r.service, from, methodPull, request)
	if err != nil {
		return nil, err
	}
	if reply.Version.Generation == 0 || (!inForce && !reply.Version.After(base.stamp())) {
		return nil, nil
	}
	var baseHashes []Hash
	if reply.Base == base.stamp() {
		baseHashes = base.hashes()
	}
	hashes, err := applyRuns(baseHashes, reply.Runs)
	if err != nil {
		return nil, err
	}
	return r.assemble(ctx, from, reply, hashes)
}

// assemble builds a version from the parts in the reply and those of local versions,
// and requests the missing ones from the peer.
func (r *replica) assemble(ctx context.Context, from domain.Member, reply pullReply, hashes []Hash) (*loadedVersion, error) {
	if hashOf(encodeManifest(hashes)) != reply.Version.Root {
		return nil, fmt.Errorf("%w: manifest of generation %d", errCorrupt, reply.Version.Generation)
	}
	fetched := r.indexParts(reply.Parts)
	parts := make([][]byte, len(hashes))
	var missing []Hash
	for i, h := range hashes {
		if fetched[h] == nil {
			fetched[h] = findPart(h, r.latest.Load(), r.inForce.Load())
		}
		parts[i] = fetched[h]
		if parts[i] == nil {
			missing = append(missing, h)
		}
	}
	if err := r.fetchParts(ctx, from, missing, fetched); err != nil {
		return nil, err
	}
	for i, h := range hashes {
		parts[i] = fetched[h]
	}
	return &loadedVersion{version: reply.Version, content: newContentFromParts(parts, hashes)}, nil
}

// indexParts indexes parts received from a peer by their computed hashes, so that a
// corrupt part is never used.
func (r *replica) indexParts(parts [][]byte) map[Hash][]byte {
	index := make(map[Hash][]byte, len(parts))
	for _, part := range parts {
		index[hashOf(part)] = part
		r.service.counters.pulledBytes.Add(len(part))
	}
	return index
}

// fetchParts requests the missing parts from the peer, page by page.
func (r *replica) fetchParts(ctx context.Context, from domain.Member, missing []Hash, fetched map[Hash][]byte) error {
	for len(missing) > 0 {
		request := partsRequest{Name: r.spec.Name, Hashes: firstN(missing, maxRequestedParts)}
		reply, err := call[partsRequest, partsReply](ctx, r.service, from, methodParts, request)
		if err != nil {
			return err
		}
		for h, part := range r.indexParts(reply.Parts) {
			fetched[h] = part
		}
		before := len(missing)
		for len(missing) > 0 && fetched[missing[0]] != nil {
			missing = missing[1:]
		}
		if len(missing) == before {
			return errPartUnavailable
		}
	}
	return nil
}

// call calls a peer with a timeout of Options.CallTimeout.
func call[Request, Reply any](ctx context.Context, s *Service, to domain.Member, method peer.Method, request Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return peer.Call[Request, Reply](ctx, s.options.Transport, to, method, request)
}
