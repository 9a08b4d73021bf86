package service

import (
	"time"
)

// Faults are what is wrong with a service, until they are set anew. The zero
// value is a sound service.
type Faults struct {
	// Straggle makes every call so many times as long; 0 and 1 are the normal speed.
	Straggle float64 `json:"straggle"`
	// Pause stops everything, as if the process were stopped.
	Pause bool `json:"pause"`
	// Refuse refuses connections.
	Refuse bool `json:"refuse"`
	// Leaving is shown in the runs. Calls are taken all the same.
	Leaving bool `json:"leaving"`
	// AnswerDelayMillis passes between a call's effect and its answer.
	AnswerDelayMillis int `json:"answer_delay_ms"`
	// LoseAnswers runs so many of the next calls and breaks off in place of the
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// Status answers all calls with this status in place of running them; 0 for
	// none.
	Status int `json:"status"`
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case f.Pause && s.unpaused == nil:
		s.unpaused = make(chan struct{})
	case !f.Pause && s.unpaused != nil:
		close(s.unpaused)
		s.unpaused = nil
	}
	s.noteUp()
}

// Crash ends all calls at once and forgets everything that was saved. The
// service refuses connections until it has restarted.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	close(s.lifeEnd)
	s.data = newData()
	s.noteUp()
	if s.options.RestartDelay >= 0 {
		time.AfterFunc(s.options.RestartDelay, s.restart)
	}
}

func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.lifeEnd = make(chan struct{})
	s.noteUp()
}

// noteUp tells the owner of the listener whether there should be one.
func (s *Service) noteUp() {
	up := !s.down && !s.faults.Refuse
	if up == s.up {
		return
	}
	s.up = up
	if s.options.OnAvailabilityChange != nil {
		s.options.OnAvailabilityChange(up)
	}
}

// loseAnswer takes one from the fault LoseAnswers.
func (s *Service) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
