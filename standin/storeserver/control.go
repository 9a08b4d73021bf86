package storeserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"hawthornrill.example/hawthornrill/standin/api"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// Faults is the body of POST /standin/faults. What it leaves out is no fault.
type Faults struct {
	// Down refuses all calls, DelayMillis delays their effect.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
	// StaleByMillis makes reads answer as of so long ago.
	StaleByMillis int `json:"old_by_ms"`
	// LoseAnswers lets so many of the next writes take effect and then breaks off.
	LoseAnswers int `json:"lose_answers"`
	// ForMillis ends all faults after that time; 0 leaves them in force.
	ForMillis int `json:"for_ms"`
}

// control serves the tests' side.
type control struct {
	memory *memstore.Store

	mu    sync.Mutex
	saved memstore.Copy
}

func addControl(router *echo.Echo, memory *memstore.Store) {
	c := &control{memory: memory}
	router.GET("/standin/counts", c.counts)
	router.POST("/standin/faults", c.setFaults)
	router.POST("/standin/save", c.save)
	router.POST("/standin/restore", c.restore)
}

func (c *control) counts(ctx echo.Context) error {
	return ctx.JSON(http.StatusOK, c.memory.Counts())
}

func (c *control) setFaults(ctx echo.Context) error {
	var f Faults
	if err := api.DecodeStrict(ctx, &f); err != nil {
		return err
	}
	c.apply(f)
	if f.ForMillis > 0 {
		time.AfterFunc(millis(f.ForMillis), func() { c.apply(Faults{}) })
	}
	return ctx.JSON(http.StatusOK, f)
}

func (c *control) apply(f Faults) {
	c.memory.SetDelay(millis(f.DelayMillis))
	c.memory.SetOldBy(millis(f.StaleByMillis))
	c.memory.LoseNext(f.LoseAnswers)
	c.memory.SetDown(f.Down)
}

// save keeps a copy of the content, restore brings it back.
func (c *control) save(ctx echo.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saved = c.memory.Save()
	return ctx.NoContent(http.StatusNoContent)
}

func (c *control) restore(ctx echo.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Restore(c.saved)
	return ctx.NoContent(http.StatusNoContent)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
