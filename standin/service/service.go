package service

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// Service simulates a plain service. Its methods are safe for concurrent use.
type Service struct {
	options Options
	router  *echo.Echo
	workers chan struct{}
	// timed clears faults that were set for a time.
	timed api.Timed

	mu     sync.Mutex
	data   data
	runs   []*Run
	faults Faults
	// resumed is non-nil while the service is paused and is closed when it resumes.
	resumed            chan struct{}
	crashed, available bool
	// crashSignal is closed by the next crash.
	crashSignal chan struct{}
}

// headerRequestKey is the header with the request key.
const headerRequestKey = "X-Request-Key"

// errAborted means that a call ends without a complete response.
var errAborted = errors.New("service: call aborted")

// New returns a service.
func New(options Options) *Service {
	options = options.withDefaults()
	s := &Service{
		options:     options,
		workers:     make(chan struct{}, options.Workers),
		data:        newData(),
		available:   true,
		crashSignal: make(chan struct{}),
	}
	s.router = api.NewRouter(statusOf)
	s.addRoutes()
	return s
}

func statusOf(err error) (int, bool) {
	if errors.Is(err, errAborted) {
		return api.AbortConnection, true
	}
	return 0, false
}

// Handler returns the service's HTTP interface, including the control paths.
func (s *Service) Handler() http.Handler {
	router := api.NewRouter(statusOf)
	s.addControlRoutes(router)
	router.Any("/*", echo.WrapHandler(s.router))
	return router
}

// NewControlHandler returns a handler of the control paths alone, for a listener
// that stays open while the service itself is down.
func NewControlHandler(s *Service) http.Handler {
	router := api.NewRouter(statusOf)
	s.addControlRoutes(router)
	return router
}

// simulateCall is the middleware around the service's handlers. It logs the call,
// holds a worker for the processing time and applies the faults.
func (s *Service) simulateCall(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx := c.Request().Context()
		run, crashSignal, err := s.admit(ctx, c.Request())
		if err != nil {
			return err
		}
		if status := s.Faults().Status; status != 0 {
			s.setStatus(run, status)
			return c.NoContent(status)
		}
		if err := s.process(ctx, crashSignal); err != nil {
			return err
		}
		c.Response().Before(func() {
			s.applyAnswerFaults(ctx)
			s.setStatus(run, c.Response().Status)
		})
		return next(c)
	}
}

// admit waits while the service is paused, then logs the call.
func (s *Service) admit(ctx context.Context, request *http.Request) (*Run, <-chan struct{}, error) {
	for {
		s.mu.Lock()
		if s.resumed == nil {
			defer s.mu.Unlock()
			return s.addRun(Run{
				Key:     request.Header.Get(headerRequestKey),
				Method:  request.Method,
				Path:    request.URL.RequestURI(),
				At:      time.Now(),
				Leaving: s.faults.Leaving,
			}), s.crashSignal, nil
		}
		resumed := s.resumed
		s.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return nil, nil, errAborted
		}
	}
}

// process holds a worker for the processing time. A call that is being processed
// is not cancelled when its caller disconnects; one that waits for a worker is.
func (s *Service) process(ctx context.Context, crashSignal <-chan struct{}) error {
	select {
	case s.workers <- struct{}{}:
	case <-crashSignal:
		return errAborted
	case <-ctx.Done():
		return errAborted
	}
	defer func() { <-s.workers }()
	duration := s.options.ProcessingTime
	if f := s.Faults(); f.Straggle > 0 {
		duration = time.Duration(float64(duration) * f.Straggle)
	}
	return sleep(duration, crashSignal)
}

// applyAnswerFaults delays or aborts the response after the call's effect.
func (s *Service) applyAnswerFaults(ctx context.Context) {
	delay := time.Duration(s.Faults().AnswerDelayMillis) * time.Millisecond
	if sleep(delay, ctx.Done()) != nil || s.consumeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
}

func sleep(d time.Duration, interrupt <-chan struct{}) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-interrupt:
		return errAborted
	}
}
