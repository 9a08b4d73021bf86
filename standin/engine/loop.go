package engine

import (
	"io"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
)

// step is one pass over the batch: some prompt tokens, and one answer token for
// each sequence whose prompt is done.
type step struct {
	prefill []prefillPart
	decode  []*sequence
	tokens  int
	takes   time.Duration
}

type prefillPart struct {
	sequence *sequence
	tokens   int
}

// work makes sure that the loop runs while there is something to do.
func (e *Engine) work() {
	if e.busy {
		return
	}
	e.busy = true
	go e.loop(e.life, time.Now(), e.lifeEnd)
}

// loop computes step after step. Each is due a step's time after the one before
// was, so that late wake-ups don't add up.
func (e *Engine) loop(life uint64, due time.Time, end <-chan struct{}) {
	for {
		s, ok := e.begin(life)
		if !ok {
			return
		}
		due = due.Add(s.takes)
		if !sleep(time.Until(due), end) {
			return
		}
		due = e.await(due, end)
		if !e.complete(life, s) {
			return
		}
	}
}

// await waits until the engine is not paused. What was due meanwhile is not made
// up for.
func (e *Engine) await(due time.Time, end <-chan struct{}) time.Time {
	e.mu.Lock()
	unpaused := e.unpaused
	e.mu.Unlock()
	if unpaused != nil {
		select {
		case <-unpaused:
		case <-end:
		}
	}
	if now := time.Now(); now.Sub(due) > maxBehind {
		return now
	}
	return due
}

// maxBehind is how far a loop that wakes up late may hurry to catch up.
const maxBehind = 100 * time.Millisecond

// begin admits what fits and plans a step; false ends the loop.
func (e *Engine) begin(life uint64) (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life {
		return step{}, false
	}
	e.admit()
	if len(e.batch) == 0 {
		e.busy = false
		return step{}, false
	}
	return e.plan(), true
}

// admit takes waiting sequences into the batch in order of arrival, until one
// does not fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.options.BatchLimit {
		s := e.waiting[0]
		if !s.admit(&e.memory) {
			return
		}
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, s)
		e.counts.PrefillReused += uint64(s.cached)
		s.run.Cached += s.cached
		if s.run.State == RunWaiting {
			s.run.State = RunRunning
			s.run.Admitted = time.Now()
		}
	}
}

func (e *Engine) plan() step {
	var st step
	budget := e.chunk()
	for _, s := range e.batch {
		if !s.prefilling() {
			st.decode = append(st.decode, s)
			continue
		}
		n := min(budget-st.tokens, s.target-s.computed)
		if n <= 0 {
			continue
		}
		st.prefill = append(st.prefill, prefillPart{sequence: s, tokens: n})
		st.tokens += n
	}
	st.takes = e.options.Speed.step(len(st.decode), st.tokens)
	if e.faults.Straggle > 0 {
		st.takes = time.Duration(float64(st.takes) * e.faults.Straggle)
	}
	return st
}

// chunk is the number of prompt tokens that a step computes at most, by role.
func (e *Engine) chunk() int {
	switch e.models.role {
	case endpoint.RolePrefill:
		return roleFactor * e.options.Speed.PrefillChunk
	case endpoint.RoleDecode:
		return max(1, e.options.Speed.PrefillChunk/roleFactor)
	default:
		return e.options.Speed.PrefillChunk
	}
}

// roleFactor is how much more, or less, prompt a step takes in by role.
const roleFactor = 4

// complete applies a step whose time has passed.
func (e *Engine) complete(life uint64, st step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life {
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
	e.noteLoad()
	return true
}

// prefill computes a part of a prompt; it returns false if that crashed the
// engine.
func (e *Engine) prefill(p prefillPart) bool {
	s := p.sequence
	if !s.running {
		return true
	}
	s.prefill(p.tokens, &e.memory, e.notePrefill)
	s.run.Prefilled += p.tokens
	e.counts.PrefillDone += uint64(p.tokens)
	if s.prefilling() {
		return true
	}
	if s.poison {
		e.crash()
		return false
	}
	// The last part of the prompt yields the first token.
	e.decode(s)
	return true
}

// notePrefill counts blocks that are computed again.
func (e *Engine) notePrefill(hash uint64) {
	if e.options.OnPrefill != nil {
		e.options.OnPrefill(hash)
	}
	if _, ok := e.seen[hash]; ok {
		e.counts.PrefillRepeated += prefix.BlockTokens
		return
	}
	if len(e.seen) >= seenLimit {
		clear(e.seen)
	}
	e.seen[hash] = struct{}{}
}

// seenLimit bounds the memory for PrefillRepeated.
const seenLimit = 1 << 20

// decode emits the next token, which needs KV memory for itself.
func (e *Engine) decode(s *sequence) {
	if !s.running || !e.makeRoom(s) {
		return
	}
	s.private++
	s.stream.add(s.writer.token(s.answer.Tokens[s.emitted], s.emitted == 0))
	if s.emitted == 0 {
		s.run.FirstToken = time.Now()
	}
	s.emitted++
	s.run.Emitted = s.emitted
	e.counts.Generated++
	if s.emitted == len(s.answer.Tokens) {
		e.finish(s)
	}
}

// makeRoom reserves memory for one token. If there is none it preempts the
// sequence that was admitted last, which may be s itself: then it returns false.
func (e *Engine) makeRoom(s *sequence) bool {
	for !e.memory.reserve(1) {
		last := e.batch[len(e.batch)-1]
		e.preempt(last)
		if last == s {
			return false
		}
	}
	return true
}

// preempt throws a sequence out of the batch, to be computed again next.
func (e *Engine) preempt(s *sequence) {
	e.counts.Preempted++
	e.counts.PrefillAbandoned += uint64(s.prefilled)
	s.release(&e.memory)
	s.computed, s.target, s.prefilled = 0, s.prompt+s.emitted, 0
	e.batch = e.batch[:len(e.batch)-1]
	e.waiting = slices.Insert(e.waiting, 0, s)
}

func (e *Engine) finish(s *sequence) {
	s.stream.add(s.writer.finish(s.answer.FinishReason, newUsage(s.prompt, s.emitted, s.run.Cached)))
	s.stream.add([]byte(done))
	e.counts.Finished++
	s.keepAnswer(&e.memory)
	e.end(s, RunFinished, io.EOF)
	e.remove(s)
}

// abandon ends a sequence before its answer is complete.
func (e *Engine) abandon(s *sequence, state RunState, reason error) {
	e.counts.PrefillAbandoned += uint64(s.prefilled)
	e.counts.GeneratedAbandoned += uint64(s.emitted)
	e.end(s, state, reason)
}

func (e *Engine) end(s *sequence, state RunState, reason error) {
	s.gone = true
	s.release(&e.memory)
	s.run.State = state
	s.run.Ended = time.Now()
	s.stream.finish(reason)
	e.ended = append(e.ended, endedStream{stream: s.stream, at: time.Now()})
	e.forgetEnded()
}

func (e *Engine) remove(s *sequence) {
	same := func(o *sequence) bool { return o == s }
	e.batch = slices.DeleteFunc(e.batch, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// forgetEnded drops streams whose retention is over.
func (e *Engine) forgetEnded() {
	now := time.Now()
	for len(e.ended) > 0 && now.Sub(e.ended[0].at) >= e.options.Retention {
		s := e.ended[0].stream
		e.ended = e.ended[1:]
		if e.streams[s.key] == s {
			delete(e.streams, s.key)
		}
	}
}
