package document

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// pull fetches the version that a peer holds, or the one it has in force. It
// returns nil if that is not later than this node's.
func (r *replica) pull(ctx context.Context, from domain.Member, good bool) (*held, error) {
	r.service.meters.pulls.Inc()
	h, err := r.tryPull(ctx, from, good)
	if err != nil {
		r.service.meters.pullErrors.Inc()
		r.service.options.Logger.Debug().Str("document", r.spec.Name).
			Stringer("from", from).Err(err).Msg("pull failed")
	}
	return h, err
}

func (r *replica) tryPull(ctx context.Context, from domain.Member, good bool) (*held, error) {
	base := r.latest.Load()
	request := pullRequest{Name: r.spec.Name, Base: base.stamp(), Good: good}
	reply, err := call[pullRequest, pullReply](ctx, r.service, from, methodPull, request)
	if err != nil {
		return nil, err
	}
	if reply.Version.Generation == 0 || (!good && !reply.Version.After(base.stamp())) {
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

// assemble puts a version together from the parts known, those in the reply, and
// those that it asks the peer for.
func (r *replica) assemble(ctx context.Context, from domain.Member, reply pullReply, hashes []Hash) (*held, error) {
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
	return &held{version: reply.Version, content: contentOf(parts, hashes)}, nil
}

// indexParts hashes what came from a peer, so that only true parts are found.
func (r *replica) indexParts(parts [][]byte) map[Hash][]byte {
	index := make(map[Hash][]byte, len(parts))
	for _, part := range parts {
		index[hashOf(part)] = part
		r.service.meters.pulledBytes.Add(len(part))
	}
	return index
}

// fetchParts asks for the missing parts page by page.
func (r *replica) fetchParts(ctx context.Context, from domain.Member, missing []Hash, fetched map[Hash][]byte) error {
	for len(missing) > 0 {
		request := partsRequest{Name: r.spec.Name, Hashes: firstOf(missing, maxPartsAsked)}
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
			return errGone
		}
	}
	return nil
}

// call calls a peer under the service's timeout.
func call[Request, Reply any](ctx context.Context, s *Service, to domain.Member, method peer.Method, request Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return peer.Call[Request, Reply](ctx, s.options.Transport, to, method, request)
}
