package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// freshFor is the age up to which a grant is taken as not yet dispatched if its
// holder has not reported otherwise.
const freshFor = 100 * time.Millisecond

// grant is a place that is taken, as its owner knows it.
type grant struct {
	id     askID
	holder *holder
	pool   *pool
	place  *place
	// ask is without Blocks, Session and Name.
	ask      Request
	since    time.Time
	progress progressCode
	// revokedAt is zero unless the grant is revoked.
	revokedAt  time.Time
	notifiedAt time.Time
	// beneficiary is the ask that it was revoked for, while that waits.
	beneficiary *entry
}

func (g *grant) tokens() int { return g.ask.PromptTokens + g.ask.AnswerTokens }

func (g *grant) revoked() bool { return !g.revokedAt.IsZero() }

// remaining is the number of answer tokens yet to come.
func (g *grant) remaining() int { return max(g.ask.AnswerTokens-g.progress.tokens(), 0) }

// prefilling is the number of prompt tokens if no answer token was reported.
func (g *grant) prefilling() int {
	if g.progress >= progressFirstToken {
		return 0
	}
	return g.ask.PromptTokens
}

// loss ranks what would be thrown away by a revocation, the least first.
type loss struct {
	// phase is 0 for not dispatched, 1 for prefill, 2 for decoding.
	phase  int
	tokens int
}

func (g *grant) loss(now time.Time) loss {
	switch {
	case g.progress == progressNone && now.Sub(g.since) < freshFor:
		return loss{}
	case g.progress < progressFirstToken:
		return loss{phase: 1, tokens: g.ask.PromptTokens}
	default:
		return loss{phase: 2, tokens: g.ask.PromptTokens + g.progress.tokens()}
	}
}

func (l loss) less(o loss) bool {
	if l.phase != o.phase {
		return l.phase < o.phase
	}
	return l.tokens < o.tokens
}

func (l loss) plus(o loss) loss {
	return loss{phase: max(l.phase, o.phase), tokens: l.tokens + o.tokens}
}

// lifeOf names one life of a node.
type lifeOf struct {
	node        domain.NodeID
	incarnation domain.Incarnation
}

func lifeOfMember(m domain.Member) lifeOf { return lifeOf{m.Node, m.Incarnation} }
