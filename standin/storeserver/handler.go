// Package storeserver simulates the platform's key-value service over HTTP. It
// serves a memstore.Store, including its faults.
package storeserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/httpstore"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// DefaultWatchTimeout is the time after which a watch without a change is answered
// with 204 No Content.
const DefaultWatchTimeout = 30 * time.Second

// Options configure a handler.
type Options struct {
	// WatchTimeout is the time after which a watch without a change is answered; 0 means
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
}

type handler struct {
	memory       *memstore.Store
	client       *memstore.Client
	watchTimeout time.Duration
}

// NewHandler returns the service's HTTP interface, which package httpstore describes,
// with the control paths.
func NewHandler(memory *memstore.Store, options Options) http.Handler {
	h := &handler{memory: memory, client: memory.NewClient(), watchTimeout: options.WatchTimeout}
	if h.watchTimeout == 0 {
		h.watchTimeout = DefaultWatchTimeout
	}
	router := api.NewRouter(statusOf)
	router.GET(httpstore.PathKey, h.get)
	router.PUT(httpstore.PathKey, h.put)
	router.DELETE(httpstore.PathKey, h.delete)
	router.GET(httpstore.PathKeys, h.list)
	router.GET(httpstore.PathWatch, h.watch)
	router.POST(httpstore.PathLeases, h.grant)
	router.POST(httpstore.PathLeases+"/:lease", h.keepAlive)
	router.DELETE(httpstore.PathLeases+"/:lease", h.revoke)
	addControlRoutes(router, memory)
	return router
}

func statusOf(err error) (int, bool) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound, true
	case errors.Is(err, store.ErrConflict):
		return http.StatusConflict, true
	case errors.Is(err, store.ErrLeaseNotFound):
		return http.StatusGone, true
	case errors.Is(err, store.ErrUnavailable):
		return http.StatusServiceUnavailable, true
	case errors.Is(err, store.ErrUnknownOutcome):
		return api.AbortConnection, true
	}
	return 0, false
}

func (h *handler) get(c echo.Context) error {
	entry, err := h.client.Get(c.Request().Context(), c.QueryParam(httpstore.ParameterKey))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, entry)
}

func (h *handler) list(c echo.Context) error {
	entries, err := h.client.List(c.Request().Context(), c.QueryParam(httpstore.ParameterPrefix))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, entries)
}

func (h *handler) put(c echo.Context) error {
	expected, err := api.QueryUint(c, httpstore.ParameterExpected)
	if err != nil {
		return err
	}
	lease, err := api.QueryUint(c, httpstore.ParameterLease)
	if err != nil {
		return err
	}
	value, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, store.MaxValueBytes))
	if err != nil {
		return err
	}
	key := c.QueryParam(httpstore.ParameterKey)
	revision, err := h.client.CompareAndSwap(writeContext(c), key, store.Revision(expected), value, store.LeaseID(lease))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, httpstore.SwapResponse{Revision: revision})
}

func (h *handler) delete(c echo.Context) error {
	expected, err := api.QueryUint(c, httpstore.ParameterExpected)
	if err != nil {
		return err
	}
	err = h.client.Delete(writeContext(c), c.QueryParam(httpstore.ParameterKey), store.Revision(expected))
	if err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) watch(c echo.Context) error {
	after, err := api.QueryUint(c, httpstore.ParameterAfter)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), h.watchTimeout)
	defer cancel()
	entry, err := h.client.Watch(ctx, c.QueryParam(httpstore.ParameterKey), store.Revision(after))
	if errors.Is(err, context.DeadlineExceeded) {
		return c.NoContent(http.StatusNoContent)
	}
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, entry)
}

func (h *handler) grant(c echo.Context) error {
	var request httpstore.LeaseRequest
	if err := api.DecodeStrict(c, &request); err != nil {
		return err
	}
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	lease, err := h.client.GrantLease(writeContext(c), ttl)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, httpstore.LeaseResponse{Lease: lease})
}

func (h *handler) keepAlive(c echo.Context) error {
	if err := h.client.KeepAlive(writeContext(c), leaseID(c)); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) revoke(c echo.Context) error {
	if err := h.client.RevokeLease(writeContext(c), leaseID(c)); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// leaseID returns the lease in the path. A value that is not a number yields 0,
// which is no lease.
func leaseID(c echo.Context) store.LeaseID {
	n, _ := strconv.ParseUint(c.Param("lease"), 10, 64)
	return store.LeaseID(n)
}

// writeContext returns a context that is not cancelled when the caller disconnects:
// a write takes effect once it has been received.
func writeContext(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}
