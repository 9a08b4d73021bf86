package node

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/membership"
)

const (
	// foreignEvery is the interval at which changes in other data centres are
	// looked for.
	foreignEvery = time.Second
	// foreignTimeout bounds the fetching of a table.
	foreignTimeout = 2 * time.Second
)

// foreignTables fetches the ledger table of another data centre from one of its
// nodes when the members there have changed, rather than wait for the table to
// arrive by itself.
type foreignTables struct {
	documents *document.Service
	tables    *tables
	members   membership.View
	log       zerolog.Logger
	seed      maphash.Seed
	// fetched is the digest of the members with which each table was fetched.
	fetched map[domain.DataCentre]uint64
}

func newForeignTables(documents *document.Service, tables *tables, members membership.View, log zerolog.Logger) *foreignTables {
	return &foreignTables{
		documents: documents,
		tables:    tables,
		members:   members,
		log:       log,
		seed:      maphash.MakeSeed(),
		fetched:   make(map[domain.DataCentre]uint64),
	}
}

// run follows the tables of the data centres that appear until the context ends.
func (f *foreignTables) run(ctx context.Context) error {
	ticker := time.NewTicker(foreignEvery)
	defer ticker.Stop()
	for {
		f.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// step fetches the tables that are due.
func (f *foreignTables) step(ctx context.Context) {
	snapshot := f.members.Current()
	for dc, peers := range byDataCentre(snapshot) {
		if err := f.tables.follow(dc); err != nil {
			f.log.Error().Err(err).Msg("ledger table not followed")
		}
		digest := f.digest(peers)
		if dc == snapshot.Self.DataCentre || (f.fetched[dc] == digest && f.complete(dc, peers)) {
			continue
		}
		if f.fetch(ctx, dc, peers) {
			f.fetched[dc] = digest
		}
	}
}

// fetch asks one live node of the data centre, chosen at random.
func (f *foreignTables) fetch(ctx context.Context, dc domain.DataCentre, peers []membership.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, foreignTimeout)
	defer cancel()
	from := peers[rand.IntN(len(peers))]
	if from.Status != membership.StatusAlive {
		return false
	}
	return f.documents.Refresh(ctx, ledger.TableKey(dc), from.Member) == nil
}

// complete reports whether the table has every live node of the data centre. One
// that has just started takes a moment to join.
func (f *foreignTables) complete(dc domain.DataCentre, peers []membership.Peer) bool {
	table := f.tables.Table(dc)
	if table == nil {
		return false
	}
	for _, p := range peers {
		if p.Status == membership.StatusAlive && !table.Contains(p.Member) {
			return false
		}
	}
	return true
}

// digest changes whenever a life or its status does.
func (f *foreignTables) digest(peers []membership.Peer) uint64 {
	var h maphash.Hash
	h.SetSeed(f.seed)
	for _, p := range peers {
		maphash.WriteComparable(&h, p)
	}
	return h.Sum64()
}

// byDataCentre groups the peers.
func byDataCentre(s *membership.Snapshot) map[domain.DataCentre][]membership.Peer {
	groups := make(map[domain.DataCentre][]membership.Peer)
	for _, p := range s.Peers {
		groups[p.DataCentre] = append(groups[p.DataCentre], p)
	}
	return groups
}
