package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// oneEndpoint is a configuration with a single endpoint at a time.
type oneEndpoint struct{ snapshot *config.Snapshot }

func (o *oneEndpoint) Current() *config.Snapshot { return o.snapshot }

func (o *oneEndpoint) set(id domain.EndpointID, kind config.EndpointKind) {
	o.snapshot = &config.Snapshot{Endpoints: map[domain.EndpointID]*config.EndpointRow{id: {ID: id, Kind: kind}}}
}

type noAdapters struct{}

func (noAdapters) Engine(*config.EndpointRow) endpoint.Engine   { return nil }
func (noAdapters) Service(*config.EndpointRow) endpoint.Service { return nil }

// Guards against memory that grows with endpoints that have left the configuration.
func TestAdaptersOfEndpointsThatLeftAreDropped(t *testing.T) {
	view := &oneEndpoint{}
	e := newEndpoints(view, noAdapters{})
	for i := range 10_000 {
		id := domain.EndpointID(fmt.Sprint("e", i))
		view.set(id, config.KindEngine)
		_, ok := e.Engine(id)
		assert.Assert(t, ok)
		view.set(id, config.KindService)
		_, ok = e.Service(id)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(e.engines), 1)
	assert.Equal(t, len(e.services), 1)
}

func TestReportsOfEndpointsThatLeftAreDropped(t *testing.T) {
	r := newReportPoller(nil, nil)
	for i := range 10_000 {
		id := domain.EndpointID(fmt.Sprint("e", i))
		r.prune([]domain.EndpointID{id})
		r.setLastEvent(id, 1)
		r.leaving[id] = struct{}{}
	}
	assert.Equal(t, len(r.lastEvents), 1)
	assert.Equal(t, len(r.leaving), 1)
}
