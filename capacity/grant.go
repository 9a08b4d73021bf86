package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// assumeUndispatched is the age up to which a grant counts as not yet dispatched if its
// holder has not reported otherwise.
const assumeUndispatched = 100 * time.Millisecond

// grant is an occupied slot as its owner knows it.
type grant struct {
	id       requestID
	holder   *holder
	pool     *pool
	endpoint *ownedEndpoint
	// request is without Blocks, Session and Name.
	request  Request
	since    time.Time
	progress progressCode
	// revokedAt is zero unless the grant is revoked.
	revokedAt  time.Time
	notifiedAt time.Time
	// beneficiary is the queued request that the grant was revoked for, while that
	// waits.
	beneficiary *entry
}

func (g *grant) tokens() int { return g.request.PromptTokens + g.request.AnswerTokens }

func (g *grant) revoked() bool { return !g.revokedAt.IsZero() }

// remaining is the number of answer tokens still expected.
func (g *grant) remaining() int { return max(g.request.AnswerTokens-g.progress.tokens(), 0) }

// pendingPrefill is the number of prompt tokens, or 0 once an answer token was
// reported.
func (g *grant) pendingPrefill() int {
	if g.progress >= progressFirstToken {
		return 0
	}
	return g.request.PromptTokens
}

// revocationCost ranks the work that a revocation would discard, the least first.
type revocationCost struct {
	// phase is 0 for not dispatched, 1 for prefill, 2 for decoding.
	phase  int
	tokens int
}

func (g *grant) revocationCost(now time.Time) revocationCost {
	switch {
	case g.progress == progressNone && now.Sub(g.since) < assumeUndispatched:
		return revocationCost{}
	case g.progress < progressFirstToken:
		return revocationCost{phase: 1, tokens: g.request.PromptTokens}
	default:
		return revocationCost{phase: 2, tokens: g.request.PromptTokens + g.progress.tokens()}
	}
}

func (l revocationCost) less(o revocationCost) bool {
	if l.phase != o.phase {
		return l.phase < o.phase
	}
	return l.tokens < o.tokens
}

func (l revocationCost) plus(o revocationCost) revocationCost {
	return revocationCost{phase: max(l.phase, o.phase), tokens: l.tokens + o.tokens}
}

// memberKey identifies one incarnation of a node.
type memberKey struct {
	node        domain.NodeID
	incarnation domain.Incarnation
}

func keyOfMember(m domain.Member) memberKey { return memberKey{m.Node, m.Incarnation} }
