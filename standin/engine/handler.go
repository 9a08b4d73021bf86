package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/endpoint"
)

// headerRequestKey names the stream of a request.
const headerRequestKey = "X-Request-Key"

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// handler serves an engine over HTTP.
type handler struct{ engine *Engine }

// NewHandler returns the engine's HTTP interface; see docs/operators/stand-ins.md.
func NewHandler(e *Engine) http.Handler {
	h := &handler{engine: e}
	router := echo.New()
	router.HTTPErrorHandler = writeError
	router.POST("/v1/chat/completions", h.complete)
	router.GET("/v1/streams/:key", h.resume)
	router.DELETE("/v1/streams/:key", h.cancel)
	router.GET("/v1/load", h.load)
	router.GET("/v1/cache/events", h.cacheEvents)
	router.GET("/standin/runs", h.runs)
	router.GET("/standin/counts", h.counts)
	return router
}

func (h *handler) complete(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	key := c.Request().Header.Get(headerRequestKey)
	if key == "" {
		return echo.NewHTTPError(http.StatusBadRequest, headerRequestKey+" is missing")
	}
	r, stream, err := h.engine.start(c.Request().Context(), endpoint.EngineRequest{Key: key, Body: body})
	if err != nil {
		return err
	}
	defer stream.Close()
	if !r.Stream {
		return writeCompletion(c, r, stream)
	}
	return writeEvents(c, stream)
}

func (h *handler) resume(c echo.Context) error {
	from, err := queryNumber(c, "from")
	if err != nil {
		return err
	}
	stream, err := h.engine.resume(c.Request().Context(), streamKey(c), from)
	if err != nil {
		return err
	}
	defer stream.Close()
	return writeEvents(c, stream)
}

func (h *handler) cancel(c echo.Context) error {
	if err := h.engine.Cancel(c.Request().Context(), streamKey(c)); err != nil {
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
	after, err := queryNumber(c, "after")
	if err != nil {
		return err
	}
	events, err := h.engine.CacheEvents(c.Request().Context(), after)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, events)
}

func (h *handler) runs(c echo.Context) error   { return c.JSON(http.StatusOK, h.engine.Runs()) }
func (h *handler) counts(c echo.Context) error { return c.JSON(http.StatusOK, h.engine.Counts()) }

// streamKey returns the key in the path. The router leaves it escaped if the
// path as a whole can't be told from its unescaped form.
func streamKey(c echo.Context) string {
	key := c.Param("key")
	if c.Request().URL.RawPath == "" {
		return key
	}
	unescaped, err := url.PathUnescape(key)
	if err != nil {
		return key
	}
	return unescaped
}

func queryNumber(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" must be a whole number")
	}
	return n, nil
}

// errorBody is the common shape of a model engine's errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed || errors.Is(err, context.Canceled) {
		return
	}
	status := statusOf(err)
	_ = c.JSON(status, errorBody{Error: errorDetail{Message: err.Error(), Code: status}})
}

func statusOf(err error) int {
	var he *echo.HTTPError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &he):
		return he.Code
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBadRequest), errors.Is(err, ErrBadOrder):
		return http.StatusBadRequest
	case errors.Is(err, ErrModel), errors.Is(err, endpoint.ErrStreamNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrOldFence):
		return http.StatusConflict
	case errors.Is(err, ErrFull):
		return http.StatusTooManyRequests
	default:
		return http.StatusInternalServerError
	}
}
