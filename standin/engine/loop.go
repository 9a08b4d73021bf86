package engine

import (
	"io"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
)

// step is one pass over the batch: a chunk of prompt tokens, and one answer token
// for each sequence whose prompt is complete.
type step struct {
	prefill  []prefillPart
	decode   []*sequence
	tokens   int
	duration time.Duration
}

type prefillPart struct {
	sequence *sequence
	tokens   int
}

// startLoop starts the loop unless it is running already.
func (e *Engine) startLoop() {
	if e.loopRunning {
		return
	}
	e.loopRunning = true
	go e.loop(e.incarnation, time.Now(), e.incarnationEnd)
}

// loop computes steps until the batch is empty. Each step is scheduled relative to
// when the previous one was due, so that timer delays don't accumulate.
func (e *Engine) loop(incarnation uint64, due time.Time, end <-chan struct{}) {
	for {
		s, ok := e.beginStep(incarnation)
		if !ok {
			return
		}
		due = due.Add(s.duration)
		if !sleep(time.Until(due), end) {
			return
		}
		due = e.awaitUnpaused(due, end)
		if !e.completeStep(incarnation, s) {
			return
		}
	}
}

// awaitUnpaused waits until the engine is not paused and returns the time from
// which the next step is scheduled. Steps missed during a pause are not made up
// for.
func (e *Engine) awaitUnpaused(due time.Time, end <-chan struct{}) time.Time {
	e.mu.Lock()
	unpaused := e.unpaused
	e.mu.Unlock()
	if unpaused != nil {
		select {
		case <-unpaused:
		case <-end:
		}
	}
	if now := time.Now(); now.Sub(due) > maxCatchUp {
		return now
	}
	return due
}

// maxCatchUp is the delay up to which late steps are made up for. After a longer
// one the schedule restarts from the current time.
const maxCatchUp = 100 * time.Millisecond

// beginStep admits waiting sequences and plans a step. It returns false if the
// loop must end.
func (e *Engine) beginStep(incarnation uint64) (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return step{}, false
	}
	e.admit()
	if len(e.batch) == 0 {
		e.loopRunning = false
		return step{}, false
	}
	return e.planStep(), true
}

// admit moves waiting sequences into the batch in order of arrival, until one does
// not fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.options.BatchLimit {
		s := e.waiting[0]
		if !s.admit(&e.memory) {
			return
		}
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, s)
		e.counts.PrefillReused += uint64(s.cachedTokens)
		s.run.Cached += s.cachedTokens
		if s.run.State == RunWaiting {
			s.run.State = RunRunning
			s.run.Admitted = time.Now()
		}
	}
}

func (e *Engine) planStep() step {
	var st step
	budget := e.prefillChunk()
	for _, s := range e.batch {
		if !s.prefilling() {
			st.decode = append(st.decode, s)
			continue
		}
		n := min(budget-st.tokens, s.targetTokens-s.computedTokens)
		if n <= 0 {
			continue
		}
		st.prefill = append(st.prefill, prefillPart{sequence: s, tokens: n})
		st.tokens += n
	}
	st.duration = e.options.Speed.step(len(st.decode), st.tokens)
	if e.faults.Straggle > 0 {
		st.duration = time.Duration(float64(st.duration) * e.faults.Straggle)
	}
	return st
}

// prefillChunk returns the maximum number of prompt tokens per step for the
// engine's role.
func (e *Engine) prefillChunk() int {
	switch e.models.role {
	case endpoint.RolePrefill:
		return roleChunkFactor * e.options.Speed.PrefillChunk
	case endpoint.RoleDecode:
		return max(1, e.options.Speed.PrefillChunk/roleChunkFactor)
	default:
		return e.options.Speed.PrefillChunk
	}
}

// roleChunkFactor scales the prefill chunk: up in the prefill role, down in the
// decode role.
const roleChunkFactor = 4

// completeStep applies the results of a step once its time has passed. It returns
// false if the loop must end.
func (e *Engine) completeStep(incarnation uint64, st step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return false
	}
	for _, s := range st.decode {
		e.decode(s)
	}
	for _, p := range st.prefill {
		if !e.prefill(p) {
			return false
		}
	}
	e.recordLoad()
	return true
}

// prefill computes a part of a prompt. It returns false if that crashed the
// engine.
func (e *Engine) prefill(p prefillPart) bool {
	s := p.sequence
	if !s.running {
		return true
	}
	s.prefill(p.tokens, &e.memory, e.recordPrefill)
	s.run.Prefilled += p.tokens
	e.counts.PrefillDone += uint64(p.tokens)
	if s.prefilling() {
		return true
	}
	if s.poisoned {
		e.crash()
		return false
	}
	// The last part of the prompt also yields the first answer token.
	e.decode(s)
	return true
}

// recordPrefill counts blocks that had been computed before.
func (e *Engine) recordPrefill(hash uint64) {
	if e.options.OnPrefill != nil {
		e.options.OnPrefill(hash)
	}
	if _, ok := e.prefilledBlocks[hash]; ok {
		e.counts.PrefillRepeated += prefix.BlockTokens
		return
	}
	if len(e.prefilledBlocks) >= maxPrefilledBlocks {
		clear(e.prefilledBlocks)
	}
	e.prefilledBlocks[hash] = struct{}{}
}

// maxPrefilledBlocks bounds the set of block hashes kept for
// Counts.PrefillRepeated; the set is cleared when it is full.
const maxPrefilledBlocks = 1 << 20

// decode emits the next answer token and reserves KV memory for it.
func (e *Engine) decode(s *sequence) {
	if !s.running || !e.reserveToken(s) {
		return
	}
	s.privateTokens++
	s.stream.add(s.writer.token(s.answer.Tokens[s.emittedTokens], s.emittedTokens == 0))
	if s.emittedTokens == 0 {
		s.run.FirstToken = time.Now()
	}
	s.emittedTokens++
	s.run.Emitted = s.emittedTokens
	e.counts.Generated++
	if s.emittedTokens == len(s.answer.Tokens) {
		e.finish(s)
	}
}

// reserveToken reserves KV memory for one token, preempting the sequences admitted
// last as needed. It returns false if s itself was preempted.
func (e *Engine) reserveToken(s *sequence) bool {
	for !e.memory.reserve(1) {
		last := e.batch[len(e.batch)-1]
		e.preempt(last)
		if last == s {
			return false
		}
	}
	return true
}

// preempt removes the last sequence of the batch and puts it at the front of the
// queue, to be recomputed.
func (e *Engine) preempt(s *sequence) {
	e.counts.Preempted++
	e.counts.PrefillAbandoned += uint64(s.prefilledTokens)
	s.release(&e.memory)
	s.computedTokens, s.targetTokens, s.prefilledTokens = 0, s.promptTokens+s.emittedTokens, 0
	e.batch = e.batch[:len(e.batch)-1]
	e.waiting = slices.Insert(e.waiting, 0, s)
}

func (e *Engine) finish(s *sequence) {
	s.stream.add(s.writer.finish(s.answer.FinishReason, newUsage(s.promptTokens, s.emittedTokens, s.run.Cached)))
	s.stream.add([]byte(doneEvent))
	e.counts.Finished++
	s.cacheAnswer(&e.memory)
	e.end(s, RunFinished, io.EOF)
	e.remove(s)
}

// abandon ends a sequence before its answer is complete.
func (e *Engine) abandon(s *sequence, state RunState, reason error) {
	e.counts.PrefillAbandoned += uint64(s.prefilledTokens)
	e.counts.GeneratedAbandoned += uint64(s.emittedTokens)
	e.end(s, state, reason)
}

func (e *Engine) end(s *sequence, state RunState, reason error) {
	s.ended = true
	s.release(&e.memory)
	s.run.State = state
	s.run.Ended = time.Now()
	s.stream.finish(reason)
	e.endedStreams = append(e.endedStreams, endedStream{stream: s.stream, at: time.Now()})
	e.pruneEndedStreams()
}

func (e *Engine) remove(s *sequence) {
	same := func(o *sequence) bool { return o == s }
	e.batch = slices.DeleteFunc(e.batch, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// pruneEndedStreams drops streams whose retention period has passed.
func (e *Engine) pruneEndedStreams() {
	now := time.Now()
	for len(e.endedStreams) > 0 && now.Sub(e.endedStreams[0].at) >= e.options.Retention {
		s := e.endedStreams[0].stream
		e.endedStreams = e.endedStreams[1:]
		if e.streams[s.key] == s {
			delete(e.streams, s.key)
		}
	}
}
