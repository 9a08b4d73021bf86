package service

import "time"

// Run is the witness of one call that the service ran. Two runs with one key are
// two dispatches.
type Run struct {
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
	// Status is that of the answer, 0 if there was none (yet).
	Status int `json:"status"`
	// Leaving is true if the service had been told that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// runLimit bounds the log; beyond it the oldest half is forgotten.
const runLimit = 1 << 20

// Runs returns all calls that the service ran, in order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, len(s.runs))
	for i, r := range s.runs {
		runs[i] = *r
	}
	return runs
}

// addRun needs the mutex.
func (s *Service) addRun(r Run) *Run {
	if len(s.runs) >= runLimit {
		s.runs = append(s.runs[:0], s.runs[runLimit/2:]...)
	}
	s.runs = append(s.runs, &r)
	return &r
}

func (s *Service) setStatus(r *Run, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Status = status
}
