package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
)

// FaultRequest is the body of POST /standin/faults: the faults to change, and what
// happens once.
type FaultRequest struct {
	Faults
	// Crash crashes the engine, Cut breaks all connections that read a stream.
	Crash      bool `json:"crash,omitempty"`
	Disconnect bool `json:"cut,omitempty"`
	// ForMillis ends all faults after that time; 0 leaves them in force.
	ForMillis int `json:"for_ms,omitempty"`
}

// NewControlHandler returns the tests' side of the engine's HTTP interface
// alone, for a listener that stays up while the engine itself is down.
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

// control serves the tests' side.
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

// setFaults changes the faults named in the body and leaves the others.
func (c *control) setFaults(ctx echo.Context) error {
	order := FaultRequest{Faults: c.engine.Faults()}
	if err := api.DecodeStrict(ctx, &order); err != nil {
		return err
	}
	c.engine.SetFaults(order.Faults)
	if order.ForMillis > 0 {
		time.AfterFunc(time.Duration(order.ForMillis)*time.Millisecond, func() { c.engine.SetFaults(Faults{}) })
	}
	if order.Disconnect {
		c.engine.DisconnectStreams()
	}
	if order.Crash {
		c.engine.Crash()
	}
	return ctx.JSON(http.StatusOK, c.engine.Faults())
}
