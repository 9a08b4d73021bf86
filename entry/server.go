package entry

import (
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/session"
)

// Dependencies are what the entry needs.
type Dependencies struct {
	// Self is this node's own life, which minted keys name.
	Self      domain.Member
	Config    config.View
	Sessions  *session.Authority
	Scheduler *scheduler.Scheduler
}

// Server answers callers.
type Server struct {
	parts   Dependencies
	options Options
	bodies  budget
	places  atomic.Pointer[places]
}

// New returns a server; zero options mean defaults.
func New(parts Dependencies, options Options) *Server {
	options = options.withDefaults()
	return &Server{parts: parts, options: options, bodies: budget{limit: options.MaxBufferedBytes}}
}

// Register adds the callers' routes and makes errors problem documents.
func (s *Server) Register(e *echo.Echo) {
	e.HTTPErrorHandler = HandleError
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/sessions", s.openSession)
	e.GET("/v1/requests/:key", s.getRequest)
	e.DELETE("/v1/requests/:key", s.cancelRequest)
	e.Any("/services/:service", s.call)
	e.Any("/services/:service/*", s.call)
}
