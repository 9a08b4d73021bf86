package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/service"
)

// ErrServerRecord means that the log of a stand-in could not be read.
var ErrServerRecord = errors.New("load: cannot read the log of the stand-in")

// FetchServerRecord reads the logs of the stand-ins over HTTP. Blocks that an engine
// recomputed after another engine had computed them are not visible this way, so
// Repeated counts only what each engine recomputed itself.
func FetchServerRecord(ctx context.Context, endpoints []config.EndpointRow) (*ServerRecord, error) {
	s := &ServerRecord{
		Engines:  make(map[domain.EndpointID][]engine.Run),
		Services: make(map[domain.EndpointID][]service.Run),
		Counts:   make(map[domain.EndpointID]engine.Counts),
	}
	for i := range endpoints {
		if err := s.fetch(ctx, &endpoints[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *ServerRecord) fetch(ctx context.Context, row *config.EndpointRow) error {
	if row.Kind == config.KindService {
		var runs []service.Run
		err := fetchJSON(ctx, row.Address+"/standin/runs", &runs)
		s.Services[row.ID] = runs
		return err
	}
	var runs []engine.Run
	var counts engine.Counts
	err := errors.Join(
		fetchJSON(ctx, row.Address+"/standin/runs", &runs),
		fetchJSON(ctx, row.Address+"/standin/counts", &counts),
	)
	s.Engines[row.ID], s.Counts[row.ID] = runs, counts
	s.Repeated += counts.PrefillRepeated
	return err
}

// recordClient reads the logs of stand-ins.
var recordClient = httpresponse.NewClient()

func fetchJSON(ctx context.Context, url string, value any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrServerRecord, err)
	}
	response, err := recordClient.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrServerRecord, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s returned %s", ErrServerRecord, url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("%w: decode %s: %w", ErrServerRecord, url, err)
	}
	return nil
}
