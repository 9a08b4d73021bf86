package engine

import (
	"time"

	"hawthornrill.example/hawthornrill/prefix"
)

// sequence is the state of one request in the engine.
type sequence struct {
	stream       *stream
	request      request
	writer       eventWriter
	run          *Run
	answer       Answer
	chain        *prefix.Chain
	blocks       []uint64
	promptTokens int
	promptHash   uint64
	model        string
	poisoned     bool

	// emittedTokens counts answer tokens already generated.
	emittedTokens int
	// targetTokens is the number of leading tokens whose KV must be computed before
	// the next token is decoded; computedTokens is how many are.
	targetTokens, computedTokens int
	// heldBlocks counts the leading blocks in use, privateTokens the tokens outside
	// shared blocks.
	heldBlocks, privateTokens int
	// cachedTokens and prefilledTokens count tokens reused and computed since the
	// sequence was last admitted.
	cachedTokens, prefilledTokens int
	// running is true while the sequence is in the batch, ended once it has
	// finished, failed or been cancelled.
	running, ended bool
}

func newSequence(key string, r request, poison string) *sequence {
	chain := r.chain()
	return &sequence{
		stream:       newStream(key),
		request:      r,
		writer:       newEventWriter(key, r.Model, time.Now()),
		answer:       r.answer(chain.Sum()),
		chain:        chain,
		blocks:       chain.Blocks(),
		promptTokens: chain.Tokens(),
		promptHash:   chain.Sum(),
		model:        r.Model,
		poisoned:     poison != "" && r.contains(poison),
	}
}

func (s *sequence) prefilling() bool { return s.computedTokens < s.targetTokens }

// admit reserves memory for the prompt (and, after a preemption, for the answer
// tokens already generated), sharing cached blocks. It returns false if there is
// not enough memory.
func (s *sequence) admit(m *memory) bool {
	s.targetTokens = s.promptTokens + s.emittedTokens
	s.heldBlocks = 0
	for s.heldBlocks < len(s.blocks) && m.cache.acquire(s.blocks[s.heldBlocks]) {
		s.heldBlocks++
	}
	cached := s.heldBlocks * prefix.BlockTokens
	if !m.reserve(max(0, s.targetTokens-cached)) {
		s.releaseBlocks(m)
		return false
	}
	s.privateTokens = max(0, s.targetTokens-cached)
	// The last token is always computed, since decoding needs its output.
	s.cachedTokens = min(cached, s.targetTokens-1)
	s.computedTokens = s.cachedTokens
	s.prefilledTokens = 0
	s.running = true
	return true
}

// prefill computes n further tokens and moves completed blocks into the cache. It
// calls onComputed for each of these blocks.
func (s *sequence) prefill(n int, m *memory, onComputed func(hash uint64)) {
	s.computedTokens += n
	s.prefilledTokens += n
	for s.heldBlocks < len(s.blocks) && (s.heldBlocks+1)*prefix.BlockTokens <= s.computedTokens {
		hash := s.blocks[s.heldBlocks]
		s.heldBlocks++
		s.privateTokens -= prefix.BlockTokens
		m.privateTokens -= prefix.BlockTokens
		if m.cache.acquire(hash) {
			// Another sequence has stored the block first; this copy's memory is freed.
			onComputed(hash)
			continue
		}
		m.cache.store(hash)
		onComputed(hash)
	}
}

// release frees the sequence's memory. Its cached blocks remain until they are
// evicted.
func (s *sequence) release(m *memory) {
	s.running = false
	s.releaseBlocks(m)
	m.privateTokens -= s.privateTokens
	s.privateTokens = 0
}

func (s *sequence) releaseBlocks(m *memory) {
	for i := s.heldBlocks - 1; i >= 0; i-- {
		m.cache.release(s.blocks[i])
	}
	s.heldBlocks = 0
}

// cacheAnswer moves the blocks of the whole conversation, including the answer,
// into the cache for the next turn.
func (s *sequence) cacheAnswer(m *memory) {
	s.chain.Add("assistant", s.answer.Text())
	s.blocks = s.chain.Blocks()
	for s.heldBlocks < len(s.blocks) && s.privateTokens >= prefix.BlockTokens {
		hash := s.blocks[s.heldBlocks]
		s.heldBlocks++
		s.privateTokens -= prefix.BlockTokens
		m.privateTokens -= prefix.BlockTokens
		if !m.cache.acquire(hash) {
			m.cache.store(hash)
		}
	}
}
