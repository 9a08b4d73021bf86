package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a sort of model request.
type Kind struct {
	Name string
	// Share is its weight among the kinds of an organisation.
	Share float64
	// Question is the mean length of a turn's new text in tokens, Answer that of
	// the answer; both vary by Spread, the sigma of a log-normal distribution.
	QuestionTokens, AnswerTokens int
	Sigma                        float64
	// Patience is how long the caller waits for the whole answer.
	Timeout time.Duration
}

// mostTimesMean bounds a length drawn, as callers do by max_tokens.
const mostTimesMean = 4

// fewestTokens is the shortest length drawn.
const fewestTokens = 8

// length draws a length with about the given mean.
func (k *Kind) length(random *rand.Rand, mean int) int {
	drawn := float64(mean) * math.Exp(k.Sigma*random.NormFloat64()-k.Sigma*k.Sigma/2)
	return min(max(int(drawn), fewestTokens), mostTimesMean*mean-1)
}

// pick draws a kind by the shares.
func pick(random *rand.Rand, kinds []Kind) *Kind {
	var sum float64
	for i := range kinds {
		sum += kinds[i].Share
	}
	at := random.Float64() * sum
	for i := range kinds {
		if at -= kinds[i].Share; at < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}
