package node

import (
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/routing"
	"hawthornrill.example/hawthornrill/scheduler"
)

// State is a dump of the node's state for debugging. It contains no secrets,
// request keys or request contents.
type State struct {
	Version        string                 `json:"version"`
	Self           domain.Member          `json:"self"`
	UpSeconds      float64                `json:"up_seconds"`
	Ready          string                 `json:"ready"`
	Goroutines     int                    `json:"goroutines"`
	Members        *membership.Snapshot   `json:"members"`
	Documents      []document.Condition   `json:"documents"`
	Ledger         ledger.Dump            `json:"ledger"`
	Capacity       capacity.Dump          `json:"capacity"`
	Routing        []routing.EndpointDump `json:"routing"`
	Scheduler      scheduler.State        `json:"scheduler"`
	Coordinator    *coordinator.Dump      `json:"coordinator,omitempty"`
	ConfigRevision uint64                 `json:"config_revision"`
}

// readyText is the value of State.Ready, and the body of /readyz, for a ready node.
const readyText = "ready"

// State returns a dump of the current state.
func (n *Node) State() State {
	s := State{
		Version:    buildinfo.String(),
		Self:       n.self,
		UpSeconds:  time.Since(n.started).Seconds(),
		Ready:      readyText,
		Goroutines: runtime.NumGoroutine(),
		Members:    n.options.Members.Current(),
		Documents:  n.documents.Conditions(),
		Ledger:     n.ledger.Dump(),
		Capacity:   n.capacity.Dump(),
		Routing:    n.routers.State(),
		Scheduler:  n.scheduler.State(),
	}
	if err := n.Ready(); err != nil {
		s.Ready = err.Error()
	}
	if n.coordinator != nil {
		dump := n.coordinator.Dump()
		s.Coordinator = &dump
	}
	if snapshot := n.config.Current(); snapshot != nil {
		s.ConfigRevision = uint64(snapshot.Revision)
	}
	return s
}

// RegisterHealthRoutes registers /livez and /readyz.
func (n *Node) RegisterHealthRoutes(e *echo.Echo) {
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/readyz", n.readyz)
}

// RegisterDebugRoutes registers /metrics and /debug/state.
func (n *Node) RegisterDebugRoutes(e *echo.Echo) {
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		n.WriteMetrics(c.Response())
		return nil
	})
	e.GET("/debug/state", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, n.State(), "  ") })
}

func (n *Node) readyz(c echo.Context) error {
	if err := n.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, readyText+"\n")
}

// WriteMetrics writes the node's metrics in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) {
	n.options.Metrics.WritePrometheus(w)
	n.scheduler.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}
