package entry

import (
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/session"
)

// Dependencies are the components that a Server uses.
type Dependencies struct {
	// Self is this node and its incarnation, the scope of generated keys.
	Self      domain.Member
	Config    config.View
	Sessions  *session.Authority
	Scheduler *scheduler.Scheduler
}

// Server handles the HTTP requests of callers.
type Server struct {
	deps            Dependencies
	options         Options
	bodies          bodyBudget
	dataCentreCache atomic.Pointer[dataCentreCache]
}

// New returns a Server. Zero options are replaced by their defaults.
func New(deps Dependencies, options Options) *Server {
	options = options.withDefaults()
	return &Server{deps: deps, options: options, bodies: bodyBudget{limit: options.MaxBufferedBytes}}
}

// Register adds the routes for callers and sets HandleError as the error handler.
func (s *Server) Register(e *echo.Echo) {
	e.HTTPErrorHandler = HandleError
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/sessions", s.openSession)
	e.GET("/v1/requests/:key", s.getRequest)
	e.DELETE("/v1/requests/:key", s.cancelRequest)
	e.Any("/services/:service", s.call)
	e.Any("/services/:service/*", s.call)
}
