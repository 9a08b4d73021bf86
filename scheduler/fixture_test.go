package scheduler_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

type cluster struct {
	network  *peertest.Network
	home     *schedulertest.Home
	capacity *schedulertest.Capacity
	engine   *schedulertest.Engine
	limiter  *countingLimiter
	peers    map[domain.NodeID]*peertest.Node
	nodes    map[domain.NodeID]*scheduler.Scheduler
}

func newCluster(script schedulertest.Script, options scheduler.Options) *cluster {
	if script.Tokens == 0 {
		script.Tokens = 10
	}
	if script.Interval == 0 {
		script.Interval = time.Second
	}
	b := &cluster{
		network:  peertest.NewNetwork(),
		home:     schedulertest.NewHome(),
		capacity: schedulertest.NewCapacity("e"),
		engine:   schedulertest.NewEngine(script),
		limiter:  &countingLimiter{},
		peers:    make(map[domain.NodeID]*peertest.Node),
		nodes:    make(map[domain.NodeID]*scheduler.Scheduler),
	}
	world := schedulertest.Cluster{
		Home:      b.home,
		Capacity:  b.capacity,
		Endpoints: schedulertest.Endpoints{Engines: map[domain.EndpointID]endpoint.Engine{"e": b.engine}},
		Limiter:   b.limiter,
	}
	for _, name := range []domain.NodeID{"a", "b", "c"} {
		b.peers[name] = b.network.Node(schedulertest.NewMember(name))
		b.nodes[name] = world.NewScheduler(b.peers[name], options)
	}
	return b
}

func (b *cluster) close() {
	for _, s := range b.nodes {
		s.Close()
	}
	b.network.Close()
}

// countingLimiter counts open permits and fails with err if it is set.
type countingLimiter struct {
	err  error
	held atomic.Int64
}

func (l *countingLimiter) Admit(*config.Organisation, int, int) (scheduler.LimitPermit, error) {
	if l.err != nil {
		return nil, l.err
	}
	l.held.Add(1)
	return l, nil
}

func (l *countingLimiter) Release(int, int) { l.held.Add(-1) }

func organisation(rank domain.Tier) *config.Organisation {
	return &config.Organisation{OrganisationRow: config.OrganisationRow{ID: "o"}, Rank: rank}
}

func request(client string) scheduler.Request {
	return scheduler.Request{
		Key:          domain.RequestKey{Scope: domain.Scope{DataCentre: "palermo"}, Organisation: "o", Client: client},
		Organisation: organisation(0),
		Pool:         domain.ModelPool("m"),
		Body:         []byte("{}"),
	}
}

// readAll reads a handle to the end, closes it and returns the text.
func readAll(t *testing.T, h *scheduler.Handle) (string, answer.End) {
	t.Helper()
	defer h.Close()
	return readFrom(t, h, answer.Position{}, 1<<62)
}

// readFrom reads until the end of the answer or the chunk before stop.
func readFrom(t *testing.T, h *scheduler.Handle, position answer.Position, stop uint64) (string, answer.End) {
	t.Helper()
	var text strings.Builder
	for position.From < stop {
		batch, err := h.Read(t.Context(), position)
		assert.NilError(t, err)
		for _, chunk := range batch.Chunks {
			text.Write(chunk.Data)
		}
		if batch.End != nil {
			return text.String(), *batch.End
		}
		position = position.Advance(batch)
	}
	return text.String(), answer.End{}
}

// expectedText returns the answer to a key between two offsets.
func expectedText(key domain.RequestKey, from, to uint64) string {
	var text strings.Builder
	for offset := from; offset < to; offset++ {
		text.WriteString(schedulertest.EventData(key.String(), offset))
	}
	return text.String()
}
