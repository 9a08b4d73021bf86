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
	// lengthLearnRate is the weight of a new sample in the moving average.
	lengthLearnRate = 0.1
	// minLengthSamples is the number of samples below which a coarser estimate is used.
	minLengthSamples = 4
	// DefaultAnswerTokens is the prediction when there are no samples.
	DefaultAnswerTokens = 256
)

// LengthPredictor predicts answer lengths from earlier answers of the organisation and the pool to
// prompts of similar length with a similar token limit, since callers choose the limit according to
// the answer they expect. Memory is fixed: keys that hash to the same slot overwrite each other. It is
// safe for concurrent use and lock-free; one of two concurrent observations may be lost.
type LengthPredictor struct {
	slots [lengthSlots]atomic.Pointer[lengthEstimate]
}

// lengthEstimate is the moving average for one key. It is immutable.
type lengthEstimate struct {
	key     uint64
	samples int
	mean    float64
}

// NewLengthPredictor returns a predictor without samples.
func NewLengthPredictor() *LengthPredictor { return &LengthPredictor{} }

// Predict returns the expected mean length in tokens, between 1 and limit; a limit of 0 means none.
// Prompt lengths are bucketed by power of four.
func (p *LengthPredictor) Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int {
	length := float64(DefaultAnswerTokens)
	for _, key := range lengthKeys(organisation, pool, promptTokens, limit) {
		if e := p.load(key); e != nil && e.samples >= minLengthSamples {
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

// Observe records the length of a complete answer to a request with the given limit.
func (p *LengthPredictor) Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit, answerTokens int) {
	for _, key := range lengthKeys(organisation, pool, promptTokens, limit) {
		p.observe(key, float64(answerTokens))
	}
}

func (p *LengthPredictor) observe(key uint64, length float64) {
	next := lengthEstimate{key: key, samples: 1, mean: length}
	if e := p.load(key); e != nil {
		rate := max(lengthLearnRate, 1/float64(e.samples+1))
		next.samples = e.samples + 1
		next.mean = e.mean + rate*(length-e.mean)
	}
	p.slots[key%lengthSlots].Store(&next)
}

// load returns the estimate for the key, or nil.
func (p *LengthPredictor) load(key uint64) *lengthEstimate {
	e := p.slots[key%lengthSlots].Load()
	if e == nil || e.key != key {
		return nil
	}
	return e
}

// lengthKeys returns the lookup keys from finest to coarsest: organisation, pool and limit; then
// organisation and pool; then pool alone; each first with the prompt-length bucket and then without.
// Limits are bucketed by power of two.
func lengthKeys(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) [6]uint64 {
	poolKey := xxhash.Sum64String(string(pool))
	organisationKey := mix(poolKey ^ mix(xxhash.Sum64String(string(organisation))))
	limitKey := mix(organisationKey ^ mix(uint64(bits.Len(uint(max(limit, 0))))))
	lengthBucket := uint64(bits.Len(uint(max(promptTokens, 0))) / 2)
	return [6]uint64{
		mix(limitKey + lengthBucket + 1), limitKey,
		mix(organisationKey + lengthBucket + 1), organisationKey,
		mix(poolKey + lengthBucket + 1), poolKey,
	}
}
