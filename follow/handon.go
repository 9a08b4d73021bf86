package follow

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/routetable"
)

// A peer that lacks the configuration in force gets what changed since its own, if this node has seen those changes, else
// the document. A change is some hundred bytes where a key is taken away, whatever the document's size.

const (
	// stepsKept bounds the changes that are kept to be handed on, stepsFor the time: a peer takes a few reports to tell that it
	// has one.
	stepsKept = 8
	stepsFor  = 30 * time.Second
)

// steps are the last changes of the configuration, each leading from the version to which the one before led.
type steps struct {
	mu   sync.Mutex
	last []step
}

type step struct {
	change *routetable.Change
	at     boottime.Instant
}

func (s *steps) add(now boottime.Instant, from, to *routetable.Table) {
	change := routetable.Diff(from, to)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = append(s.last, step{change, now})
	for len(s.last) > stepsKept || now.Sub(s.last[0].at) > stepsFor {
		s.last = s.last[1:]
	}
}

// from returns the changes that lead from the version to the last, nil if they are not known.
func (s *steps) from(version uint64) []*routetable.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []*routetable.Change
	for _, step := range s.last {
		if step.change.From == version || len(changes) > 0 {
			changes = append(changes, step.change)
		}
	}
	return changes
}

// HandOn returns what a peer with a version of the configuration needs to have the one in force: the changes since then,
// if they are known, and the document as the operators wrote it, if this node has it.
func (f *Follower) HandOn(version uint64) (changes []*routetable.Change, document []byte) {
	if c := f.inForce.Load(); c != nil {
		document = c.document
	}
	return f.handedOn.from(version), document
}
