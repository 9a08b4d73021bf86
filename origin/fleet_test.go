package origin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// fleet is a number of keepers that exchange messages in memory. It must be made in a synctest bubble.
type fleet struct {
	t     *testing.T
	start time.Time

	mu      sync.Mutex
	members []domain.Member
	keepers map[string]*Keeper
	stops   map[string]func()
	// lost decides whether a message is lost.
	lost func(from, to string) bool
	// connected decides whether connections from a node to another work; none do if it is nil.
	connected func(from, to string) bool
	// others are the nodes that are silent or leaving.
	others  []domain.Member
	changes map[string][]domain.EndpointID
	bytes   int
}

func newFleet(t *testing.T, size, dataCentres int) *fleet {
	f := &fleet{
		t: t, start: time.Now(), keepers: make(map[string]*Keeper), stops: make(map[string]func()), changes: make(map[string][]domain.EndpointID),
	}
	for i := range size {
		f.members = append(f.members, domain.Member{
			Node: domain.NodeID(fmt.Sprintf("n%03d", i)), Incarnation: 1, DataCentre: domain.DataCentre(fmt.Sprint("d", i%dataCentres)),
			Address: fmt.Sprintf("n%03d", i),
		})
	}
	for _, m := range f.members {
		f.startNode(m.Address)
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	return f
}

func (f *fleet) now() boottime.Instant { return boottime.Instant(time.Hour + time.Since(f.start)) }

func (f *fleet) startNode(name string) {
	k := New(Config{
		Self: domain.NodeID(name), Members: f.list, AllHeard: func() bool { return true }, Clock: f.now, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
		Send: func(to string, message []byte) error {
			f.deliver(name, to, message)
			return nil
		},
		Others: f.listOthers,
		Query:  func(_ context.Context, to string, query []byte) ([]byte, error) { return f.query(name, to, query) },
		VersionChanges: func() []domain.EndpointID {
			f.mu.Lock()
			defer f.mu.Unlock()
			changed := f.changes[name]
			f.changes[name] = nil
			return changed
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx) // ends with the context
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[name] = k
	f.stops[name] = func() {
		cancel()
		<-done
	}
}

func (f *fleet) list() []domain.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

func (f *fleet) listOthers() []domain.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.others)
}

// silence moves a node from the members to the others.
func (f *fleet) silence(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.members, func(m domain.Member) bool { return m.Address == name })
	f.others = append(f.others, f.members[i])
	f.members = slices.Delete(f.members, i, i+1)
}

// query queries a node over a connection.
func (f *fleet) query(from, to string, query []byte) ([]byte, error) {
	f.mu.Lock()
	k, ok := f.keepers[to], f.connected != nil && f.connected(from, to)
	f.mu.Unlock()
	if k == nil || !ok {
		return nil, errors.New("not connected")
	}
	return k.Answer(query)
}

// deliver delivers a message a millisecond later, unless it is lost.
func (f *fleet) deliver(from, to string, message []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += len(message)
	if f.lost != nil && f.lost(from, to) {
		return
	}
	data := slices.Clone(message)
	time.AfterFunc(time.Millisecond, func() {
		f.mu.Lock()
		k := f.keepers[to]
		f.mu.Unlock()
		if k != nil {
			k.Receive(data, from)
		}
	})
}

// kill ends a node without a word; the others still list it.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	stop := f.stops[name]
	delete(f.keepers, name)
	delete(f.stops, name)
	f.mu.Unlock()
	stop()
}

// restart starts a killed node again, as a new incarnation.
func (f *fleet) restart(name string) {
	f.mu.Lock()
	for i := range f.members {
		if f.members[i].Address == name {
			f.members[i].Incarnation++
		}
	}
	f.mu.Unlock()
	f.startNode(name)
}

func (f *fleet) names() []string {
	var names []string
	for _, m := range f.list() {
		names = append(names, m.Address)
	}
	return names
}

// find searches at a node for a named attempt.
func (f *fleet) lookup(name string, key Key) Result {
	return f.keepers[name].Lookup(f.t.Context(), key, true)
}

var v1, v2 = Origin{Service: "s", Version: "v1"}, Origin{Service: "s", Version: "v2"}

func key(organisation, content, attempt string) Key {
	return NewKey(domain.OrganisationID(organisation), xxhash.Sum64String(content), attempt)
}

// inFleet runs a test with a fleet of seven nodes in four data centres.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) { test(t, newFleet(t, 7, 4)) })
}

// loss loses a part of all messages.
func loss(part float64) func(string, string) bool {
	random := rand.New(rand.NewPCG(1, 1))
	return func(string, string) bool { return random.Float64() < part }
}

func others(names []string, out ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(out, n) })
}
