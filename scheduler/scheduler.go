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

// Dependencies are the components that a scheduler uses.
type Dependencies struct {
	Ledger     ledger.Ledger
	Limiter    Limiter
	Capacity   capacity.Client
	Dispatcher *dispatch.Dispatcher
	Answers    *answer.Registry
	Relay      *answer.Relay
	Transport  peer.Transport
	// LengthPredictor predicts answer lengths; nil means MaxLengthPredictor.
	LengthPredictor LengthPredictor
}

// Scheduler runs requests. It is safe for concurrent use.
type Scheduler struct {
	deps    Dependencies
	options Options
	metrics *metricSet

	ctx  context.Context
	stop context.CancelCauseFunc
	// work counts tasks and background retries of releases and finishes.
	work     sync.WaitGroup
	draining atomic.Bool
	// active counts tasks, including those that are being cancelled and have been
	// replaced in the index.
	active atomic.Int64
	// unsettled counts unconfirmed messages to keys' homes.
	unsettled atomic.Int64

	mu    sync.Mutex
	tasks map[domain.RequestKey]*task
}

// New returns a scheduler; zero options take the defaults. It registers the handler
// of MethodCancel with the transport.
func New(deps Dependencies, options Options) *Scheduler {
	ctx, stop := context.WithCancelCause(context.Background())
	if deps.LengthPredictor == nil {
		deps.LengthPredictor = MaxLengthPredictor{}
	}
	s := &Scheduler{
		deps:    deps,
		options: options.withDefaults(),
		metrics: newMetricSet(),
		ctx:     ctx,
		stop:    stop,
		tasks:   make(map[domain.RequestKey]*task),
	}
	peer.Handle(deps.Transport, MethodCancel, s.serveCancel)
	return s
}

// Submit starts the request, or joins the attempt of the same key that is in progress
// on this node and not being cancelled, and returns at once. Every result, including
// a refusal, is read from the handle.
func (s *Scheduler) Submit(request Request) *Handle {
	s.mu.Lock()
	if existing, ok := s.tasks[request.Key]; ok && !existing.cancelling.Load() {
		defer s.mu.Unlock()
		return existing.join(request)
	}
	if end, refused := s.rejection(request); refused {
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

// rejection reports whether the node can't accept the request. A draining node still
// claims keys, since only the home knows whether an earlier attempt ran.
func (s *Scheduler) rejection(request Request) (answer.End, bool) {
	if s.ctx.Err() != nil {
		return unclaimedEnd(request, answer.CodeStopped, "the node has stopped"), true
	}
	if len(s.tasks) >= s.options.MaxTasks && !s.preemptLowerTier(request.Organisation.Rank) {
		return unclaimedEnd(request, answer.CodeShed, "the node is full of requests of this tier or above"), true
	}
	return answer.End{}, false
}

// unclaimedEnd is the end of a request whose key was not claimed. An earlier attempt
// may have run, unless the key was generated for this one.
func unclaimedEnd(request Request, code answer.Code, reason string) answer.End {
	if request.GeneratedKey {
		return notRunEnd(code, reason, shortRetryDelay)
	}
	return unknownEnd(code, reason, shortRetryDelay)
}

// preemptLowerTier cancels a task of the lowest tier below rank, preferring one that
// waits to one that runs, and reports whether there was any.
func (s *Scheduler) preemptLowerTier(rank domain.Tier) bool {
	var candidate *task
	for _, t := range s.tasks {
		if rank.Above(t.tier()) && !t.cancelling.Load() && t.currentPhase() != PhaseEnded && (candidate == nil || t.evictBefore(candidate)) {
			candidate = t
		}
	}
	if candidate == nil {
		return false
	}
	candidate.cancel(dispatch.ErrPreempted)
	return true
}

// remove deletes the task from the index, so that a later attempt starts a new task.
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
