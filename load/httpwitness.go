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

// ErrWitness means that a stand-in did not show its log.
var ErrWitness = errors.New("load: no log from the stand-in")

// FetchWitness reads the stand-ins' logs over HTTP. What one engine computed again
// that another had computed can't be seen this way: Repeated counts each engine's
// own repetitions alone.
func FetchWitness(ctx context.Context, endpoints []config.EndpointRow) (*Witness, error) {
	w := &Witness{
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

func (w *Witness) fetch(ctx context.Context, row *config.EndpointRow) error {
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
		return fmt.Errorf("%w: %w", ErrWitness, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrWitness, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s says %s", ErrWitness, url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrWitness, url, err)
	}
	return nil
}
