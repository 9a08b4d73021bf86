package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/standin/api"
)

// headerRequestKey carries the request key, which names the stream.
const headerRequestKey = "X-Request-Key"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// handler serves an engine over HTTP.
type handler struct{ engine *Engine }

// NewHandler returns the engine's HTTP interface; see docs/operators/stand-ins.md.
func NewHandler(e *Engine) http.Handler {
	h := &handler{engine: e}
	router := api.NewRouter(statusOf)
	router.POST("/v1/chat/completions", h.complete)
	router.GET("/v1/streams/:key", h.resume)
	router.DELETE("/v1/streams/:key", h.cancel)
	router.GET("/v1/load", h.load)
	router.GET("/v1/cache/events", h.cacheEvents)
	router.POST("/v1/kv/export", h.exportKV)
	router.POST("/v1/kv/import", h.importKV)
	router.POST("/v1/orders", h.order)
	router.GET("/v1/orders", h.state)
	addControl(router, e)
	return router
}

func (h *handler) complete(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	key := c.Request().Header.Get(headerRequestKey)
	if key == "" {
		return fmt.Errorf("%w: %s is missing", ErrBadRequest, headerRequestKey)
	}
	r, stream, err := h.engine.start(c.Request().Context(), endpoint.EngineRequest{Key: key, Body: body})
	if err != nil {
		return err
	}
	defer stream.Close()
	if !r.Stream {
		return h.writeCompletion(c, r, stream)
	}
	return writeEvents(c, stream)
}

func (h *handler) resume(c echo.Context) error {
	from, err := api.QueryUint(c, "from")
	if err != nil {
		return err
	}
	stream, err := h.engine.resume(c.Request().Context(), api.PathValue(c, "key"), from)
	if err != nil {
		return err
	}
	defer stream.Close()
	return writeEvents(c, stream)
}

func (h *handler) cancel(c echo.Context) error {
	if err := h.engine.Cancel(c.Request().Context(), api.PathValue(c, "key")); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) load(c echo.Context) error {
	report, err := h.engine.Load(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, report)
}

func (h *handler) cacheEvents(c echo.Context) error {
	after, err := api.QueryUint(c, "after")
	if err != nil {
		return err
	}
	events, err := h.engine.CacheEvents(c.Request().Context(), after)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, events)
}

func (h *handler) exportKV(c echo.Context) error {
	var blocks []uint64
	if err := readJSON(c, &blocks); err != nil {
		return err
	}
	cache, err := h.engine.ExportKV(c.Request().Context(), blocks)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, cache)
}

func (h *handler) importKV(c echo.Context) error {
	var cache endpoint.KVCache
	if err := readJSON(c, &cache); err != nil {
		return err
	}
	held, err := h.engine.ImportKV(c.Request().Context(), cache)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, held)
}

func (h *handler) order(c echo.Context) error {
	var order endpoint.Order
	if err := readJSON(c, &order); err != nil {
		return err
	}
	if err := h.engine.Order(c.Request().Context(), order); err != nil {
		return err
	}
	return c.NoContent(http.StatusAccepted)
}

func (h *handler) state(c echo.Context) error {
	state, err := h.engine.State(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, state)
}

func readJSON(c echo.Context, value any) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return nil
}
