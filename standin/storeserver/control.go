package storeserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// Faults is the body of POST /standin/faults. Faults that it omits are cleared.
type Faults struct {
	// Down refuses all calls; DelayMillis delays their effect.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
	// StaleByMillis makes reads return the content of that long ago.
	StaleByMillis int `json:"old_by_ms"`
	// LoseAnswers is the number of next writes that take effect but whose connection is
	// aborted in place of a response.
	LoseAnswers int `json:"lose_answers"`
	// ForMillis is the time after which all faults are cleared, unless a later request has set them; 0 keeps them until they
	// are changed.
	ForMillis int `json:"for_ms"`
}

// controlHandler serves the control paths.
type controlHandler struct {
	memory *memstore.Store
	// timed clears faults that were set for a time. Each request sets all of them.
	timed api.Timed

	mu        sync.Mutex
	savedCopy memstore.Snapshot
}

func addControlRoutes(router *echo.Echo, memory *memstore.Store) {
	c := &controlHandler{memory: memory}
	router.GET("/standin/counts", c.counts)
	router.POST("/standin/faults", c.setFaults)
	router.POST("/standin/save", c.save)
	router.POST("/standin/restore", c.restore)
}

func (c *controlHandler) counts(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, c.memory.Counts())
}

func (c *controlHandler) setFaults(ctx echo.Context) error {
	var f Faults
	if err := api.DecodeStrict(ctx, &f); err != nil {
		return err
	}
	c.apply(f)
	c.timed.Set(api.Names(f), millis(f.ForMillis), func([]string) { c.apply(Faults{}) })
	return ctx.JSON(http.StatusOK, f)
}

func (c *controlHandler) apply(f Faults) {
	c.memory.SetDelay(millis(f.DelayMillis))
	c.memory.SetStaleness(millis(f.StaleByMillis))
	c.memory.DropNextResponses(f.LoseAnswers)
	c.memory.SetDown(f.Down)
}

// save keeps a copy of the store's content, which restore puts back.
func (c *controlHandler) save(ctx echo.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedCopy = c.memory.Save()
	return ctx.NoContent(http.StatusNoContent)
}

func (c *controlHandler) restore(ctx echo.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Restore(c.savedCopy)
	return ctx.NoContent(http.StatusNoContent)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
