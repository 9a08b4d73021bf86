package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// entry is a record and the time of its last change at this node.
type entry struct {
	record
	// since is when the incarnation, intent or health last changed at this node.
	since time.Time
}

// table holds a node's knowledge of the cluster. It has no lock and no clock.
type table struct {
	localDC domain.DataCentre
	// entries by node, and the nodes in sorted order.
	entries map[domain.NodeID]*entry
	order   []domain.NodeID
	// hashes combine the record hashes of each data centre.
	hashes           map[domain.DataCentre]uint64
	reachability     map[reachabilityKey]reachability
	reachabilityHash uint64
}

func newTable(home domain.DataCentre) *table {
	return &table{
		localDC:      home,
		entries:      make(map[domain.NodeID]*entry),
		hashes:       make(map[domain.DataCentre]uint64),
		reachability: make(map[reachabilityKey]reachability),
	}
}

// merge takes a record over if it supersedes the known one, and reports whether
// it did. A record that is gone is ignored if its node is unknown.
func (t *table) merge(r record, now time.Time) bool {
	if r.Node == "" || r.DataCentre == "" {
		return false
	}
	if r.DataCentre != t.localDC && r.Health == healthSuspect {
		r.Health = healthOK
	}
	known := t.entries[r.Node]
	if known == nil {
		if r.gone() {
			return false
		}
		t.insert(r, now)
		return true
	}
	if !r.supersedes(known.record) {
		return false
	}
	t.replace(known, r, now)
	return true
}

func (t *table) insert(r record, now time.Time) {
	t.entries[r.Node] = &entry{record: r, since: now}
	at, _ := slices.BinarySearch(t.order, r.Node)
	t.order = slices.Insert(t.order, at, r.Node)
	t.hashes[r.DataCentre] ^= r.hash()
}

func (t *table) replace(known *entry, r record, now time.Time) {
	t.hashes[known.DataCentre] ^= known.hash()
	t.hashes[r.DataCentre] ^= r.hash()
	if known.Incarnation != r.Incarnation || known.Health != r.Health || known.Intent != r.Intent {
		known.since = now
	}
	if known.Incarnation != r.Incarnation {
		t.dropReachability(r.Node)
	}
	known.record = r
}

// mergeReachability takes a report over if it supersedes the known one, and
// reports whether it did.
func (t *table) mergeReachability(report reachability) bool {
	from := t.entries[report.Node]
	if from == nil || from.Incarnation != report.Incarnation || from.gone() {
		return false
	}
	known, ok := t.reachability[report.key()]
	if ok && !report.supersedes(known) {
		return false
	}
	if ok {
		t.reachabilityHash ^= known.hash()
	}
	t.reachability[report.key()] = report
	t.reachabilityHash ^= report.hash()
	return true
}

// dropReachability removes the reports of a node whose incarnation has ended.
func (t *table) dropReachability(node domain.NodeID) {
	for key, report := range t.reachability {
		if key.node == node {
			t.reachabilityHash ^= report.hash()
			delete(t.reachability, key)
		}
	}
}

// removeGone removes members that have been gone since the given time or longer.
func (t *table) removeGone(before time.Time) bool {
	forgot := false
	for node, e := range t.entries {
		if !e.gone() || e.since.After(before) {
			continue
		}
		t.dropReachability(node)
		delete(t.entries, node)
		at, _ := slices.BinarySearch(t.order, node)
		t.order = slices.Delete(t.order, at, at+1)
		forgot = true
	}
	return forgot
}

// digest returns a hash of the whole table.
func (t *table) digest() uint64 {
	sum := t.reachabilityHash
	for dc, hash := range t.hashes {
		if hash != 0 {
			sum ^= hash + xxhash.Sum64String(string(dc))
		}
	}
	return sum
}

// dataCentres returns the data centres with nodes that are not gone, sorted.
func (t *table) dataCentres() []domain.DataCentre {
	seen := make(map[domain.DataCentre]bool)
	for _, e := range t.entries {
		if !e.gone() {
			seen[e.DataCentre] = true
		}
	}
	list := make([]domain.DataCentre, 0, len(seen))
	for dc := range seen {
		list = append(list, dc)
	}
	slices.Sort(list)
	return list
}

// recordsOf returns the records of a data centre, sorted by node.
func (t *table) recordsOf(dc domain.DataCentre) []record {
	var records []record
	for _, node := range t.order {
		if e := t.entries[node]; e.DataCentre == dc {
			records = append(records, e.record)
		}
	}
	return records
}
