package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a class of model requests.
type Kind struct {
	Name string
	// Share is the weight of this kind among the kinds of an organisation.
	Share float64
	// MeanQuestionTokens is the mean length in tokens of the new text of a turn,
	// MeanAnswerTokens that of the answer. Both follow a log-normal distribution with parameter Sigma.
	MeanQuestionTokens, MeanAnswerTokens int
	Sigma                                float64
	// Timeout is how long the caller waits for the complete answer.
	Timeout time.Duration
}

// maxLengthFactor bounds a drawn length relative to its mean, as callers bound answers
// with max_tokens.
const maxLengthFactor = 4

// minTokens is the lower bound of a drawn length.
const minTokens = 8

// drawLength draws a length in tokens with approximately the given mean.
func (k *Kind) drawLength(random *rand.Rand, mean int) int {
	drawn := float64(mean) * math.Exp(k.Sigma*random.NormFloat64()-k.Sigma*k.Sigma/2)
	return min(max(int(drawn), minTokens), maxLengthFactor*mean-1)
}

// pickKind draws a kind at random, weighted by Share.
func pickKind(random *rand.Rand, kinds []Kind) *Kind {
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
