package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// FaultRequest is the body of POST /standin/faults: the faults to set, and actions
// to take once.
type FaultRequest struct {
	Faults
	// Crash crashes the engine; Disconnect closes all connections that read a
	// stream.
	Crash      bool `json:"crash,omitempty"`
	Disconnect bool `json:"cut,omitempty"`
	// ForMillis clears the faults that this request sets after that time, unless a
	// later one has set them; 0 leaves them set.
	ForMillis int `json:"for_ms,omitempty"`
}

// NewControlHandler returns only the control routes of the engine's HTTP
// interface (/standin/...), for a listener that stays up while the engine is down.
func NewControlHandler(e *Engine) http.Handler {
	router := api.NewRouter(statusOf)
	addControl(router, e)
	return router
}

func addControl(router *echo.Echo, e *Engine) {
	c := &control{engine: e}
	router.GET("/standin/runs", c.runs)
	router.GET("/standin/counts", c.counts)
	router.GET("/standin/orders", c.orders)
	router.GET("/standin/faults", c.faults)
	router.POST("/standin/faults", c.setFaults)
}

// control serves the control routes.
type control struct{ engine *Engine }

func (c *control) runs(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, c.engine.Runs())
}

func (c *control) counts(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, c.engine.Counts())
}

func (c *control) orders(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, c.engine.OrderLog())
}

func (c *control) faults(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, c.engine.Faults())
}

// setFaults sets the faults named in the body and leaves the others unchanged.
func (c *control) setFaults(ctx echo.Context) error {
	body := FaultRequest{Faults: c.engine.Faults()}
	names, err := api.DecodeNamed(ctx, &body)
	if err != nil {
		return err
	}
	c.engine.SetFaults(body.Faults)
	c.engine.timed.Set(names, time.Duration(body.ForMillis)*time.Millisecond, func(names []string) {
		c.engine.SetFaults(api.Without(c.engine.Faults(), names))
	})
	if body.Disconnect {
		c.engine.DisconnectStreams()
	}
	if body.Crash {
		c.engine.Crash()
	}
	return ctx.JSON(http.StatusOK, c.engine.Faults())
}
