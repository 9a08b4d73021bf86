package service

import "time"

// Run records one call that reached the service. Two runs with the same key mean
// that the request was dispatched twice.
type Run struct {
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
	// Status is the response's status, 0 if none has been written.
	Status int `json:"status"`
	// Leaving is the value of Faults.Leaving when the call arrived.
	Leaving bool `json:"leaving,omitempty"`
}

// maxRuns is the maximum length of the run log. When it is reached, the older half
// is discarded.
const maxRuns = 1 << 20

// Runs returns the logged calls in order of arrival.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, len(s.runs))
	for i, r := range s.runs {
		runs[i] = *r
	}
	return runs
}

// addRun appends a run to the log. The caller must hold s.mu.
func (s *Service) addRun(r Run) *Run {
	if len(s.runs) >= maxRuns {
		s.runs = append(s.runs[:0], s.runs[maxRuns/2:]...)
	}
	s.runs = append(s.runs, &r)
	return &r
}

func (s *Service) setStatus(r *Run, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Status = status
}
