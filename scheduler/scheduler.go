package scheduler

import (
	"context"
	"sync"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/peer"
)

// Dependencies are what a scheduler puts together.
type Dependencies struct {
	Ledger     ledger.Ledger
	Limiter    Limiter
	Capacity   capacity.Client
	Dispatcher *dispatch.Dispatcher
	Answers    *answer.Registry
	Relay      *answer.Relay
	Transport  peer.Transport
	// LengthPredictor predicts answers' lengths; nil stands for MaxLengthPredictor.
	LengthPredictor LengthPredictor
}

// Scheduler runs requests. It is safe for concurrent use.
type Scheduler struct {
	parts   Dependencies
	options Options
	metrics *metricSet

	ctx  context.Context
	stop context.CancelCauseFunc
	// work counts tasks and unconfirmed releases and finishes.
	work     sync.WaitGroup
	draining atomic.Bool
	// active counts tasks, those being cancelled and replaced in the index included.
	active atomic.Int64
	// unsettled counts messages to keys' homes that are not confirmed yet.
	unsettled atomic.Int64

	mu    sync.Mutex
	tasks map[domain.RequestKey]*task
}

// New returns a scheduler; zero options mean defaults. It registers its handler
// with the transport.
func New(parts Dependencies, options Options) *Scheduler {
	ctx, stop := context.WithCancelCause(context.Background())
	if parts.LengthPredictor == nil {
		parts.LengthPredictor = MaxLengthPredictor{}
	}
	s := &Scheduler{
		parts:   parts,
		options: options.withDefaults(),
		metrics: newMetricSet(),
		ctx:     ctx,
		stop:    stop,
		tasks:   make(map[domain.RequestKey]*task),
	}
	peer.Handle(parts.Transport, MethodCancel, s.serveCancel)
	return s
}

// Submit takes the request up, or joins the attempt of the same key that is in
// progress here and not being cancelled, and returns at once. Whatever becomes of it, a refusal
// included, is read from the handle.
func (s *Scheduler) Submit(request Request) *Handle {
	s.mu.Lock()
	if running, ok := s.tasks[request.Key]; ok && !running.leaving.Load() {
		defer s.mu.Unlock()
		return running.join(request)
	}
	if end, refused := s.refusal(request); refused {
		s.mu.Unlock()
		return endedHandle(end)
	}
	t := newTask(s, request)
	s.tasks[request.Key] = t
	handle := t.handle()
	s.work.Add(1)
	s.active.Add(1)
	s.mu.Unlock()
	go t.run()
	return handle
}

// refusal tells whether the node can't take the request up. While it drains it
// still claims keys, since only the home knows whether an earlier attempt ran.
func (s *Scheduler) refusal(request Request) (answer.End, bool) {
	if s.ctx.Err() != nil {
		return untried(request, answer.CodeStopped, "the node has stopped"), true
	}
	if len(s.tasks) >= s.options.MaxTasks && !s.displace(request.Organisation.Rank) {
		return untried(request, answer.CodeShed, "the node is full of requests of this tier or above"), true
	}
	return answer.End{}, false
}

// untried is the end of a request whose key was not even claimed. An earlier
// attempt may have run, unless the key was minted for this one.
func untried(request Request, code answer.Code, reason string) answer.End {
	if request.GeneratedKey {
		return notRun(code, reason, retrySoon)
	}
	return unknown(code, reason, retrySoon)
}

// displace cancels a task of the lowest tier below rank, one that waits before
// one that runs, and reports whether there was any.
func (s *Scheduler) displace(rank domain.Tier) bool {
	var victim *task
	for _, t := range s.tasks {
		if rank.Above(t.tier()) && !t.leaving.Load() && t.phaseNow() != PhaseEnded && (victim == nil || t.lessThan(victim)) {
			victim = t
		}
	}
	if victim == nil {
		return false
	}
	victim.cancel(dispatch.ErrPreempted)
	return true
}

// remove takes the task out of the index; a later attempt starts anew.
func (s *Scheduler) remove(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.request.Key] == t {
		delete(s.tasks, t.request.Key)
	}
}

func endedHandle(end answer.End) *Handle {
	buffer := answer.NewBuffer(1)
	buffer.End(end)
	return newHandle(buffer)
}
