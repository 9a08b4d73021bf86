package answer

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

type endRequest struct {
	Key domain.RequestKey `cbor:"1,keyasint"`
}

// endReply has no end if the answer has not ended or is not held.
type endReply struct {
	End *End `cbor:"1,keyasint,omitempty"`
}

// End returns the end of the answer that holder has under the key, without its data; nil if it has not ended or is not held.
// The error wraps ErrHolderUnavailable.
func (r *Relay) End(ctx context.Context, holder domain.Member, key domain.RequestKey) (*End, error) {
	reply, err := peer.Call[endRequest, endReply](ctx, r.transport, holder, MethodEnd, endRequest{key})
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrHolderUnavailable, holder, err)
	}
	return reply.End, nil
}

func (r *Relay) serveEnd(_ context.Context, _ domain.Member, request endRequest) (endReply, error) {
	buffer, ok := r.registry.Get(request.Key)
	if !ok {
		return endReply{}, nil
	}
	end, ended := buffer.Ended()
	if !ended {
		return endReply{}, nil
	}
	return endReply{&end}, nil
}
