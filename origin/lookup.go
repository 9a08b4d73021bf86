package origin

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// reply is a node's reply to a query.
type reply struct {
	from  domain.NodeID
	known []Origin
}

// Lookup returns the origin of the attempt's stream, as this node and others know it. If the attempt is not named, the key's content
// counts: all streams with it must have one origin. It waits for up to 250 ms if no node knows the origin, as long again for nodes that
// are silent or leaving, and otherwise for 30 ms.
func (k *Keeper) Lookup(ctx context.Context, key Key, named bool) Result {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.applyVersionChanges()
	s := k.search(key, named)
	defer k.closeQuery(s.query)
	k.sendQuery(s)
	k.await(ctx, s)
	if len(s.known) == 0 && s.addOthers(k.config, key) {
		k.queryDirectly(ctx, s)
		k.await(ctx, s)
	}
	return k.result(s, started)
}

// await waits for replies, as long as Lookup says. A node that doesn't reply at once is queried over a connection, too.
func (k *Keeper) await(ctx context.Context, s *search) {
	again := time.NewTicker(queryRetryInterval)
	defer again.Stop()
	deadline := time.NewTimer(s.timeout())
	defer deadline.Stop()
	for len(s.open) > 0 {
		select {
		case a := <-s.replies:
			if s.add(a) {
				deadline.Reset(settleTime)
			}
		case <-again.C:
			k.sendQuery(s)
			k.queryDirectly(ctx, s)
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// search is a search for an origin.
type search struct {
	query   uint64
	replies chan reply
	data    []byte
	// open are the nodes that have not replied, of total that were queried.
	open  map[domain.NodeID]string
	total int
	// direct are the nodes that were queried over a connection.
	direct map[domain.NodeID]bool
	known  []Origin
}

// search opens a search. A node that knows the origin queries only its replicas, which would know of another one.
func (k *Keeper) search(key Key, named bool) *search {
	s := &search{known: k.local(key, named), open: make(map[domain.NodeID]string), direct: make(map[domain.NodeID]bool)}
	s.query, s.replies = k.openQuery()
	text, most := key.bytes(), queryCount
	if !named {
		text = key.Stream[:]
	} else if len(s.known) > 0 {
		most = replicaCount
	}
	s.data = (&message{Kind: kindQuery, Query: s.query, Key: text}).encode()
	for _, m := range k.placement.Load().pick(key.Stream, k.config.Self, most) {
		s.open[m.Node] = m.Address
	}
	s.total = len(s.open)
	return s
}

// addOthers adds the nodes that are silent or leaving and may be replicas of the record, and reports whether there are any.
func (s *search) addOthers(config Config, key Key) bool {
	others := config.Others()
	if len(others) == 0 {
		return false
	}
	all := append(config.Members(), others...)
	for _, m := range newPlacement(all).pick(key.Stream, config.Self, queryCount) {
		if slices.ContainsFunc(others, func(o domain.Member) bool { return o.Node == m.Node }) {
			s.open[m.Node] = m.Address
			s.total++
		}
	}
	return len(s.open) > 0
}

// timeout is how long to wait for replies.
func (s *search) timeout() time.Duration {
	if len(s.known) > 0 {
		return settleTime
	}
	return queryTimeout
}

// add takes account of a reply and reports whether it is the first that knows the origin.
func (s *search) add(a reply) bool {
	before := len(s.known)
	delete(s.open, a.from)
	for _, o := range a.known {
		if !slices.Contains(s.known, o) {
			s.known = append(s.known, o)
		}
	}
	return before == 0 && len(s.known) > 0
}

// result returns the result. If nobody knows the origin, a node that did not reply or is not heard may.
func (k *Keeper) result(s *search, started time.Time) Result {
	r := Result{Queried: s.total, Replied: s.total - len(s.open), Took: time.Since(started)}
	switch {
	case len(s.known) == 1 && s.known[0].Known():
		r.State, r.Origin = Known, s.known[0]
	case len(s.known) > 0:
		r.State = Ambiguous
	case len(s.open) > 0 || !k.config.AllHeard():
		r.State = Unreachable
	}
	return r
}

func (k *Keeper) sendQuery(s *search) {
	for _, address := range s.open {
		k.send(address, s.data)
	}
}

// queryDirectly queries the nodes that have not replied over connections, each once.
func (k *Keeper) queryDirectly(ctx context.Context, s *search) {
	for node, address := range s.open {
		if s.direct[node] {
			continue
		}
		s.direct[node] = true
		go func() {
			reply, err := k.config.Query(ctx, address, s.data)
			if err != nil {
				k.config.Log.Debug().Err(err).Str("peer", address).Msg("failed to query an origin over a connection")
				return
			}
			k.Receive(reply, address)
		}()
	}
}

func (k *Keeper) openQuery() (uint64, chan reply) {
	replies := make(chan reply, queryCount)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastQuery++
	k.queries[k.lastQuery] = replies
	return k.lastQuery, replies
}

func (k *Keeper) closeQuery(query uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.queries, query)
}

// resolve passes a reply on to the one who waits for it; a late one is ignored.
func (k *Keeper) resolve(m *message) {
	k.mu.Lock()
	replies := k.queries[m.Query]
	k.mu.Unlock()
	select {
	case replies <- reply{domain.NodeID(m.Key), m.Known}:
	default: // answered before, or nobody waits any more
	}
}
