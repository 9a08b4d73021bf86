package hostserver

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/standin/api"
)

type handler struct{ list *List }

// NewHandler returns the list's HTTP interface:
//
//	GET    /hosts                 the list with lag and faults applied
//	PUT    /standin/hosts         replaces the hosts
//	POST   /standin/hosts         adds or replaces one host
//	DELETE /standin/hosts/{node}  removes one host
//	GET, POST /standin/faults
func NewHandler(list *List) http.Handler {
	h := &handler{list: list}
	router := api.NewRouter(statusOf)
	router.GET("/hosts", h.hosts)
	router.PUT("/standin/hosts", h.set)
	router.POST("/standin/hosts", h.put)
	router.DELETE("/standin/hosts/:node", h.remove)
	router.GET("/standin/faults", h.faults)
	router.POST("/standin/faults", h.setFaults)
	return router
}

func statusOf(err error) (int, bool) {
	if errors.Is(err, hostlist.ErrUnavailable) {
		return http.StatusServiceUnavailable, true
	}
	return 0, false
}

func (h *handler) hosts(c echo.Context) error {
	hosts, err := h.list.List(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, hosts)
}

func (h *handler) set(c echo.Context) error {
	var hosts []hostlist.Host
	if err := api.DecodeStrict(c, &hosts); err != nil {
		return err
	}
	h.list.Set(hosts...)
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) put(c echo.Context) error {
	var host hostlist.Host
	if err := api.DecodeStrict(c, &host); err != nil {
		return err
	}
	h.list.Put(host)
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) remove(c echo.Context) error {
	h.list.Remove(domain.NodeID(api.PathValue(c, "node")))
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) faults(c echo.Context) error { return c.JSON(http.StatusOK, h.list.Faults()) }

func (h *handler) setFaults(c echo.Context) error {
	f := h.list.Faults()
	f.StateOverrides = nil
	if err := api.DecodeStrict(c, &f); err != nil {
		return err
	}
	h.list.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}
