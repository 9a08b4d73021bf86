package weightserver

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// PathWeights is the prefix of "model/version"; the query may name an adapter.
const PathWeights = "/weights/"

const parameterAdapter = "adapter"

type handler struct{ store *Store }

// NewHandler returns the store's HTTP interface:
//
//	GET  /weights/{model}/{version}?adapter=A   the weights; 429 if the store is busy
//	GET  /standin/counts
//	POST /standin/faults
func NewHandler(store *Store) http.Handler {
	h := &handler{store: store}
	router := api.NewRouter(statusOf)
	router.GET(PathWeights+":model/:version", h.weights)
	router.GET("/standin/counts", h.counts)
	router.POST("/standin/faults", h.setFaults)
	return router
}

func statusOf(err error) (int, bool) {
	switch {
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable, true
	case errors.Is(err, ErrBusy):
		return http.StatusTooManyRequests, true
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound, true
	}
	return 0, false
}

func (h *handler) weights(c echo.Context) error {
	weights := engine.Weights{
		Model:   api.PathValue(c, "model"),
		Version: api.PathValue(c, "version"),
		Adapter: c.QueryParam(parameterAdapter),
	}
	header := c.Response().Header()
	err := h.store.Transfer(c.Request().Context(), weights, func(chunk []byte) error {
		if !c.Response().Committed {
			header.Set(echo.HeaderContentType, echo.MIMEOctetStream)
			header.Set(echo.HeaderContentLength, strconv.Itoa(h.store.Size(weights)))
		}
		_, err := c.Response().Write(chunk)
		return err
	})
	if err != nil && c.Response().Committed {
		panic(http.ErrAbortHandler)
	}
	return err
}

func (h *handler) counts(c echo.Context) error { return c.JSON(http.StatusOK, h.store.Counts()) }

func (h *handler) setFaults(c echo.Context) error {
	var f Faults
	if err := api.DecodeStrict(c, &f); err != nil {
		return err
	}
	h.store.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}
