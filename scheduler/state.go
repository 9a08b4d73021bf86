package scheduler

import "hawthornrill.example/hawthornrill/answer"

// State is the scheduler's part of the state dump.
type State struct {
	Draining    bool                `json:"draining"`
	Waiting     int                 `json:"waiting"`
	Running     int                 `json:"running"`
	Undelivered int                 `json:"ended_undelivered"`
	Answers     answer.RegistrySize `json:"answers"`
}

// State returns counts of the requests in progress, without keys or contents.
func (s *Scheduler) State() State {
	state := State{Draining: s.Draining(), Answers: s.deps.Answers.Size()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		switch t.currentPhase() {
		case PhaseWaiting:
			state.Waiting++
		case PhaseRunning:
			state.Running++
		case PhaseEnded:
			state.Undelivered++
		}
	}
	return state
}
