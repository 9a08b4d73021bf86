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

// Service is a stand-in for a plain service. Its methods may be called at any
// time.
type Service struct {
	options Options
	router  *echo.Echo
	workers chan struct{}

	mu     sync.Mutex
	data   data
	runs   []*Run
	faults Faults
	// unpaused is not nil while the service is paused; it is closed at the end.
	unpaused chan struct{}
	down, up bool
	// lifeEnd is closed by the next crash.
	lifeEnd chan struct{}
}

// headerRequestKey names the call.
const headerRequestKey = "X-Request-Key"

// errGone means that there is no answer for this caller.
var errGone = errors.New("service: gone")

// New returns a service.
func New(options Options) *Service {
	options = options.withDefaults()
	s := &Service{
		options: options,
		workers: make(chan struct{}, options.Workers),
		data:    newData(),
		up:      true,
		lifeEnd: make(chan struct{}),
	}
	s.router = api.NewRouter(statusOf)
	s.addRoutes()
	return s
}

func statusOf(err error) (int, bool) {
	if errors.Is(err, errGone) {
		return api.Abort, true
	}
	return 0, false
}

// Handler returns the service's HTTP interface, the tests' side included.
func (s *Service) Handler() http.Handler {
	router := api.NewRouter(statusOf)
	s.addControl(router)
	router.Any("/*", echo.WrapHandler(s.router))
	return router
}

// NewControlHandler returns the tests' side alone, for a listener that stays up
// while the service itself is down.
func NewControlHandler(s *Service) http.Handler {
	router := api.NewRouter(statusOf)
	s.addControl(router)
	return router
}

// serve runs a call: it logs it, takes a worker and some time, and then lets the
// handler answer.
func (s *Service) serve(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx := c.Request().Context()
		run, lifeEnd, err := s.enter(ctx, c.Request())
		if err != nil {
			return err
		}
		if status := s.Faults().Status; status != 0 {
			s.setStatus(run, status)
			return c.NoContent(status)
		}
		if err := s.work(ctx, lifeEnd); err != nil {
			return err
		}
		c.Response().Before(func() {
			s.answerFaults(ctx)
			s.setStatus(run, c.Response().Status)
		})
		return next(c)
	}
}

// enter waits while the service is paused and logs the call.
func (s *Service) enter(ctx context.Context, request *http.Request) (*Run, <-chan struct{}, error) {
	for {
		s.mu.Lock()
		if s.unpaused == nil {
			defer s.mu.Unlock()
			return s.addRun(Run{
				Key:     request.Header.Get(headerRequestKey),
				Method:  request.Method,
				Path:    request.URL.RequestURI(),
				At:      time.Now(),
				Leaving: s.faults.Leaving,
			}), s.lifeEnd, nil
		}
		unpaused := s.unpaused
		s.mu.Unlock()
		select {
		case <-unpaused:
		case <-ctx.Done():
			return nil, nil, errGone
		}
	}
}

// work takes a worker for the time of a call. A call that runs already is not
// stopped by its caller's hanging up.
func (s *Service) work(ctx context.Context, lifeEnd <-chan struct{}) error {
	select {
	case s.workers <- struct{}{}:
	case <-lifeEnd:
		return errGone
	}
	defer func() { <-s.workers }()
	takes := s.options.ProcessingTime
	if f := s.Faults(); f.Straggle > 0 {
		takes = time.Duration(float64(takes) * f.Straggle)
	}
	return sleep(takes, lifeEnd)
}

// answerFaults delays or breaks off an answer after the call's effect.
func (s *Service) answerFaults(ctx context.Context) {
	delay := time.Duration(s.Faults().AnswerDelayMillis) * time.Millisecond
	if sleep(delay, ctx.Done()) != nil || s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
}

func sleep(d time.Duration, end <-chan struct{}) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-end:
		return errGone
	}
}
