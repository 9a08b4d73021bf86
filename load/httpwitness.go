package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/service"
)

// ErrServerRecord means that a stand-in did not show its log.
var ErrServerRecord = errors.New("load: no log from the stand-in")

// FetchServerRecord reads the stand-ins' logs over HTTP. What one engine computed again
// that another had computed can't be seen this way: Repeated counts each engine's
// own repetitions alone.
func FetchServerRecord(ctx context.Context, endpoints []config.EndpointRow) (*ServerRecord, error) {
	w := &ServerRecord{
		Engines:  make(map[domain.EndpointID][]engine.Run),
		Services: make(map[domain.EndpointID][]service.Run),
		Counts:   make(map[domain.EndpointID]engine.Counts),
	}
	for i := range endpoints {
		if err := w.fetch(ctx, &endpoints[i]); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *ServerRecord) fetch(ctx context.Context, row *config.EndpointRow) error {
	if row.Kind == config.KindService {
		var runs []service.Run
		err := fetchJSON(ctx, row.Address+"/standin/runs", &runs)
		w.Services[row.ID] = runs
		return err
	}
	var runs []engine.Run
	var counts engine.Counts
	err := errors.Join(
		fetchJSON(ctx, row.Address+"/standin/runs", &runs),
		fetchJSON(ctx, row.Address+"/standin/counts", &counts),
	)
	w.Engines[row.ID], w.Counts[row.ID] = runs, counts
	w.Repeated += counts.PrefillRepeated
	return err
}

func fetchJSON(ctx context.Context, url string, value any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrServerRecord, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrServerRecord, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s says %s", ErrServerRecord, url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrServerRecord, url, err)
	}
	return nil
}
