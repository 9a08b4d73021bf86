package routing

import (
	"math"
	"math/bits"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

const (
	// lengthSlots is the number of estimates that a LengthPredictor holds.
	lengthSlots = 4096
	// lengthRate is the part by which a length moves an estimate.
	lengthRate = 0.1
	// lengthSamples is the number of lengths below which a coarser estimate is used.
	lengthSamples = 4
	// DefaultAnswerTokens is predicted where nothing has been seen.
	DefaultAnswerTokens = 256
)

// LengthPredictor estimates how long answers will be, by what was seen of the
// organisation, the pool, prompts of like length and like limits: callers set the
// limit by what they ask for. Its memory is fixed: two
// keys that share a slot take it from each other. It is safe for concurrent use
// and takes no lock; of two lengths observed at once one may be lost.
type LengthPredictor struct {
	slots [lengthSlots]atomic.Pointer[lengthEstimate]
}

// lengthEstimate is immutable.
type lengthEstimate struct {
	key     uint64
	samples int
	mean    float64
}

// NewLengthPredictor returns a predictor that has seen nothing.
func NewLengthPredictor() *LengthPredictor { return &LengthPredictor{} }

// Predict returns the mean length in tokens to expect, from 1 to limit; a limit of
// 0 is none. Prompts are told apart by their length's power of four.
func (p *LengthPredictor) Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int {
	length := float64(DefaultAnswerTokens)
	for _, key := range lengthKeys(organisation, pool, promptTokens, limit) {
		if e := p.load(key); e != nil && e.samples >= lengthSamples {
			length = e.mean
			break
		}
	}
	predicted := max(int(math.Round(length)), 1)
	if limit > 0 {
		predicted = min(predicted, limit)
	}
	return predicted
}

// Observe tells the length of a complete answer that was predicted with the limit.
func (p *LengthPredictor) Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit, answerTokens int) {
	for _, key := range lengthKeys(organisation, pool, promptTokens, limit) {
		p.observe(key, float64(answerTokens))
	}
}

func (p *LengthPredictor) observe(key uint64, length float64) {
	next := lengthEstimate{key: key, samples: 1, mean: length}
	if e := p.load(key); e != nil {
		rate := max(lengthRate, 1/float64(e.samples+1))
		next.samples = e.samples + 1
		next.mean = e.mean + rate*(length-e.mean)
	}
	p.slots[key%lengthSlots].Store(&next)
}

// load returns the estimate of the key, or nil.
func (p *LengthPredictor) load(key uint64) *lengthEstimate {
	e := p.slots[key%lengthSlots].Load()
	if e == nil || e.key != key {
		return nil
	}
	return e
}

// lengthKeys returns the keys to look at, the finest first: by organisation, pool
// and limit, with the prompt's length and without; then by organisation and pool
// and by pool alone, each with the prompt's length and without. Limits are told
// apart by their power of two.
func lengthKeys(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) [6]uint64 {
	ofPool := xxhash.Sum64String(string(pool))
	ofBoth := mix(ofPool ^ mix(xxhash.Sum64String(string(organisation))))
	ofLimit := mix(ofBoth ^ mix(uint64(bits.Len(uint(max(limit, 0))))))
	magnitude := uint64(bits.Len(uint(max(promptTokens, 0))) / 2)
	return [6]uint64{
		mix(ofLimit + magnitude + 1), ofLimit,
		mix(ofBoth + magnitude + 1), ofBoth,
		mix(ofPool + magnitude + 1), ofPool,
	}
}
