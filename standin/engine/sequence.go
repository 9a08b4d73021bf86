package engine

import (
	"time"

	"hawthornrill.example/hawthornrill/prefix"
)

// sequence is a request inside the engine.
type sequence struct {
	stream  *stream
	request request
	writer  eventWriter
	run     *Run
	answer  Answer
	chain   *prefix.Chain
	blocks  []uint64
	prompt  int
	sum     uint64
	model   string
	poison  bool

	// emitted counts answer tokens already sent.
	emitted int
	// target is the number of tokens whose KV must be there before the next token
	// is decoded; computed is how many are, from the start.
	target, computed int
	// held counts the leading blocks in use, private the tokens of its own.
	held, private int
	// cached and prefilled count prompt tokens since it was last admitted.
	cached, prefilled int
	// running is true while in the batch, gone after the end.
	running, gone bool
}

func newSequence(key string, r request, poison string) *sequence {
	chain := r.chain()
	return &sequence{
		stream:  newStream(key),
		request: r,
		writer:  newEventWriter(key, r.Model, time.Now()),
		answer:  r.answer(chain.Sum()),
		chain:   chain,
		blocks:  chain.Blocks(),
		prompt:  chain.Tokens(),
		sum:     chain.Sum(),
		model:   r.Model,
		poison:  poison != "" && r.contains(poison),
	}
}

func (s *sequence) prefilling() bool { return s.computed < s.target }

// admit takes the memory for the prompt (and for what was emitted before, after
// a preemption), sharing the blocks that are cached.
func (s *sequence) admit(m *memory) bool {
	s.target = s.prompt + s.emitted
	s.held = 0
	for s.held < len(s.blocks) && m.cache.acquire(s.blocks[s.held]) {
		s.held++
	}
	cached := s.held * prefix.BlockTokens
	if !m.reserve(max(0, s.target-cached)) {
		s.releaseBlocks(m)
		return false
	}
	s.private = max(0, s.target-cached)
	// The last token is always computed, to have something to decode from.
	s.cached = min(cached, s.target-1)
	s.computed = s.cached
	s.prefilled = 0
	s.running = true
	return true
}

// prefill computes n further tokens and publishes the blocks that are complete.
// It returns how many blocks are newly stored.
func (s *sequence) prefill(n int, m *memory, stored func(hash uint64)) {
	s.computed += n
	s.prefilled += n
	for s.held < len(s.blocks) && (s.held+1)*prefix.BlockTokens <= s.computed {
		hash := s.blocks[s.held]
		s.held++
		s.private -= prefix.BlockTokens
		m.private -= prefix.BlockTokens
		if m.cache.acquire(hash) {
			// Another sequence was faster: the memory of this copy is free again.
			stored(hash)
			continue
		}
		m.cache.store(hash)
		stored(hash)
	}
}

// release gives all memory back; cached blocks stay until they are evicted.
func (s *sequence) release(m *memory) {
	s.running = false
	s.releaseBlocks(m)
	m.private -= s.private
	s.private = 0
}

func (s *sequence) releaseBlocks(m *memory) {
	for i := s.held - 1; i >= 0; i-- {
		m.cache.release(s.blocks[i])
	}
	s.held = 0
}

// keepAnswer caches the blocks of the whole conversation, the answer included,
// for the next turn.
func (s *sequence) keepAnswer(m *memory) {
	s.chain.Add("assistant", s.answer.Text())
	s.blocks = s.chain.Blocks()
	for s.held < len(s.blocks) && s.private >= prefix.BlockTokens {
		hash := s.blocks[s.held]
		s.held++
		s.private -= prefix.BlockTokens
		m.private -= prefix.BlockTokens
		if !m.cache.acquire(hash) {
			m.cache.store(hash)
		}
	}
}
