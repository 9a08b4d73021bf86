package origin

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// answer is a node's answer to a question.
type answer struct {
	from  domain.NodeID
	known []Origin
}

// Find returns the origin of the attempt's stream, as this node and others know it. If the attempt is not named, the key's content
// counts: all streams with it must have one origin. It waits for up to 250 ms if no node knows the origin, otherwise for 30 ms.
func (k *Keeper) Find(ctx context.Context, key Key, named bool) Finding {
	started := time.Now()
	k.applyVersionChanges()
	s := k.search(key, named)
	defer k.closeQuestion(s.question)
	again := time.NewTicker(askAgainAfter)
	defer again.Stop()
	deadline := time.NewTimer(s.patience())
	defer deadline.Stop()
	k.ask(s)
	for len(s.open) > 0 {
		select {
		case a := <-s.answers:
			if s.add(a) {
				deadline.Reset(settleTime)
			}
			continue
		case <-again.C:
			k.ask(s)
			continue
		case <-deadline.C:
		case <-ctx.Done():
		}
		break
	}
	return k.finding(s, started)
}

// search is a search for an origin.
type search struct {
	question uint64
	answers  chan answer
	data     []byte
	// open are the nodes that have not answered, of so many that were asked.
	open  map[domain.NodeID]string
	total int
	known []Origin
}

// search opens a search. A node that knows the origin asks only those that must know it, too: they would know of another one.
func (k *Keeper) search(key Key, named bool) *search {
	s := &search{known: k.local(key, named), open: make(map[domain.NodeID]string)}
	s.question, s.answers = k.openQuestion()
	text, most := key.bytes(), asked
	if !named {
		text = key.Stream[:]
	} else if len(s.known) > 0 {
		most = holders
	}
	s.data = (&message{Kind: kindAsk, Question: s.question, Key: text}).encode()
	for _, m := range k.nodes.Load().chosen(key.Stream, k.config.Self, most) {
		s.open[m.Node] = m.Address
	}
	s.total = len(s.open)
	return s
}

// patience is how long to wait for answers.
func (s *search) patience() time.Duration {
	if len(s.known) > 0 {
		return settleTime
	}
	return askTimeout
}

// add takes account of an answer and reports whether it is the first that knows the origin.
func (s *search) add(a answer) bool {
	before := len(s.known)
	delete(s.open, a.from)
	for _, o := range a.known {
		if !slices.Contains(s.known, o) {
			s.known = append(s.known, o)
		}
	}
	return before == 0 && len(s.known) > 0
}

// finding returns the result. If nobody knows the origin, a node that did not answer or is not heard may.
func (k *Keeper) finding(s *search, started time.Time) Finding {
	f := Finding{Asked: s.total, Answered: s.total - len(s.open), Took: time.Since(started)}
	switch {
	case len(s.known) == 1 && s.known[0].Known():
		f.State, f.Origin = Known, s.known[0]
	case len(s.known) > 0:
		f.State = Ambiguous
	case len(s.open) > 0 || !k.config.AllHeard():
		f.State = Unreached
	}
	return f
}

func (k *Keeper) ask(s *search) {
	for _, address := range s.open {
		k.send(address, s.data)
	}
}

func (k *Keeper) openQuestion() (uint64, chan answer) {
	answers := make(chan answer, asked)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastQuestion++
	k.questions[k.lastQuestion] = answers
	return k.lastQuestion, answers
}

func (k *Keeper) closeQuestion(question uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.questions, question)
}

// resolve passes an answer on to the one who asked; a late one is ignored.
func (k *Keeper) resolve(m *message) {
	k.mu.Lock()
	answers := k.questions[m.Question]
	k.mu.Unlock()
	select {
	case answers <- answer{domain.NodeID(m.Key), m.Known}:
	default: // answered before, or nobody waits any more
	}
}
