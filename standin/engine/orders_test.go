package engine_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
	"hawthornrill.example/hawthornrill/standin/engine"
)

func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine(t, engine.Options{IgnoreFencing: ignore})
			decode := endpoint.Order{Fence: 5, Kind: endpoint.OrderSetRole, Role: endpoint.RoleDecode}
			stale := endpoint.Order{Fence: 4, Kind: endpoint.OrderSetRole, Role: endpoint.RolePrefill}
			assert.NilError(t, e.Order(t.Context(), decode))
			err := e.Order(t.Context(), stale)
			assert.Equal(t, errors.Is(err, endpoint.ErrStaleFence), !ignore)
			state, err := e.State(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, state.Role == endpoint.RolePrefill, ignore)
			assert.Equal(t, state.Fence, uint64(5))
			log := e.OrderLog()
			assert.Equal(t, len(log), 2)
			assert.Equal(t, log[1].Applied, ignore)
			assert.Equal(t, log[1].Stale, true)
		})
	}
}

func TestLoadTimeAndLastOrderWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fetched []engine.Weights
		e := newEngine(t, engine.Options{
			Models: []string{"old"},
			Speed:  engine.Speed{ModelLoad: 10 * time.Second, AdapterLoad: time.Second},
			FetchWeights: func(w engine.Weights) error {
				fetched = append(fetched, w)
				if w.Version == "missing" {
					return errors.New("no such weights")
				}
				return nil
			},
		})
		order := func(kind endpoint.OrderKind, model, version, adapter string) {
			t.Helper()
			err := e.Order(t.Context(), endpoint.Order{Kind: kind, Model: model, Version: version, Adapter: adapter})
			assert.NilError(t, err)
			synctest.Wait()
		}
		serves := func(want bool) {
			t.Helper()
			_, err := e.Start(t.Context(), chatRequest("k", "a", 5, 1))
			assert.Equal(t, err == nil, want, "%v", err)
			assert.Equal(t, errors.Is(err, engine.ErrModelNotLoaded), !want)
		}
		order(endpoint.OrderLoad, "m", "1", "")
		order(endpoint.OrderLoad, "m", "1", "")
		time.Sleep(9 * time.Second)
		serves(false)
		time.Sleep(time.Second)
		synctest.Wait()
		serves(true)
		order(endpoint.OrderLoad, "m", "2", "")
		serves(false)
		order(endpoint.OrderLoad, "m", "missing", "")
		time.Sleep(time.Minute)
		serves(false)
		order(endpoint.OrderLoad, "m", "missing", "")
		time.Sleep(5 * time.Second)
		order(endpoint.OrderLoad, "m", "2", "")
		time.Sleep(10 * time.Second)
		synctest.Wait()
		serves(true)
		order(endpoint.OrderUnload, "m", "", "")
		order(endpoint.OrderLoadAdapter, "old", "", "m")
		serves(false)
		time.Sleep(time.Second)
		synctest.Wait()
		serves(true)
		order(endpoint.OrderUnloadAdapter, "old", "", "m")
		serves(false)
		order(endpoint.OrderUnload, "old", "", "")
		state, err := e.State(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(state.Models), 0)
		assert.Equal(t, len(fetched), 6)
	})
}

func TestInvalidOrders(t *testing.T) {
	e := newEngine(t, engine.Options{Models: []string{"m"}})
	for _, order := range []endpoint.Order{
		{},
		{Kind: endpoint.OrderLoad},
		{Kind: endpoint.OrderLoadAdapter, Model: "m"},
		{Kind: endpoint.OrderSetRole, Role: "unknown"},
		{Kind: endpoint.OrderLoadAdapter, Model: "absent", Adapter: "a"},
	} {
		assert.ErrorIs(t, e.Order(t.Context(), order), endpoint.ErrRefused)
	}
}

func TestImportedCacheSavesPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := engine.Options{Speed: testSpeed()}
		options.Speed.Transfer = 10 * time.Microsecond
		to := newEngine(t, options)
		request := chatRequest("k", "a", 10*prefix.BlockTokens, 2)
		var blocks []uint64
		options.OnPrefill = func(block uint64) { blocks = append(blocks, block) }
		from := newEngine(t, options)
		finishAll(t, from, request)
		startTime := time.Now()
		cache, err := from.ExportKV(t.Context(), append(blocks, 1))
		assert.NilError(t, err)
		held, err := to.ImportKV(t.Context(), cache)
		assert.NilError(t, err)
		assert.Equal(t, held, 10)
		assert.Equal(t, time.Since(startTime), 2*640*10*time.Microsecond)
		finishAll(t, to, request)
		assert.Equal(t, to.Counts().PrefillDone, uint64(1))
		_, err = to.ImportKV(t.Context(), endpoint.KVCache{Data: []byte("not JSON")})
		assert.ErrorIs(t, err, endpoint.ErrRefused)
	})
}
