package entrynode

import (
	stdlog "log"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/logging"
)

// State is the state of a node, as served at /debug/state.
type State struct {
	Node    string  `json:"node"`
	Build   string  `json:"build"`
	Ready   bool    `json:"ready"`
	Reason  string  `json:"reason,omitempty"`
	Version uint64  `json:"configuration_version"`
	AgeMS   float64 `json:"knowledge_age_ms"`
	// ListAgeMS is the age of the list of endpoints in milliseconds.
	ListAgeMS float64      `json:"endpoint_list_age_ms"`
	Revision  uint64       `json:"store_revision"`
	Active    int          `json:"requests_active"`
	Waiting   int          `json:"requests_waiting"`
	Fleet     gossip.Fleet `json:"fleet"`
	Endpoints int          `json:"endpoints"`
	Leaving   int          `json:"endpoints_leaving"`
	// Versions is the number of endpoints that are not leaving, by service and version of their software.
	Versions map[string]map[string]int `json:"software_versions"`
	// Notices is what endpoints have said about further requests and is in force.
	Notices []endpointgate.State `json:"endpoint_notices"`
	// Report is the node's current gossip report.
	Report gossip.Report `json:"report"`
}

// State returns the current state of the node.
func (n *Node) State() State {
	ready, reason := n.Ready()
	s := State{
		Node:      string(n.settings.Node),
		Build:     buildinfo.String(),
		Ready:     ready,
		Reason:    reason,
		AgeMS:     float64(n.follower.Age(boottime.Now()).Microseconds()) / 1000,
		ListAgeMS: float64(n.follower.EndpointsAge(boottime.Now()).Microseconds()) / 1000,
		Active:    n.gateway.Active(),
		Waiting:   n.slots.Waiting(),
		Fleet:     n.mesh.Fleet(),
		Endpoints: n.directory.Current().Len(),
		Versions:  n.directory.Current().Versions(),
		Notices:   n.endpointGate.State(),
	}
	if table := n.follower.Table(); table != nil {
		s.Version = table.Version
	}
	n.directory.Current().Each(func(e *directory.Endpoint) {
		if e.Leaving {
			s.Leaving++
		}
	})
	known, _ := n.follower.Revision(follow.Configuration)
	s.Revision = uint64(known)
	n.fillReport(&s.Report)
	return s
}

func (n *Node) operatorHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", func(c echo.Context) error {
		n.metrics.WritePrometheus(c.Response())
		return nil
	})
	e.GET("/debug/state", func(c echo.Context) error { return c.JSON(http.StatusOK, n.State()) })
	return e
}

// debugLogger returns a logger for net/http that writes its errors, which concern single connections, at debug level.
func debugLogger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(logging.LineWriter{Logger: log, Level: zerolog.DebugLevel}, "", 0)
}
