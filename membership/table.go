package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// entry is a record with when this node last changed its mind about it.
type entry struct {
	record
	// since is when the life, its intent or its health last changed here.
	since time.Time
}

// table is all that a node knows of the others. It has no lock and no clock.
type table struct {
	home domain.DataCentre
	// entries by node, and the nodes in order.
	entries map[domain.NodeID]*entry
	order   []domain.NodeID
	// hashes sum up the records of each data centre.
	hashes      map[domain.DataCentre]uint64
	contacts    map[contactKey]contact
	contactHash uint64
}

func newTable(home domain.DataCentre) *table {
	return &table{
		home:     home,
		entries:  make(map[domain.NodeID]*entry),
		hashes:   make(map[domain.DataCentre]uint64),
		contacts: make(map[contactKey]contact),
	}
}

// merge takes a record over if it is later than what is known, and reports
// whether it was. A life that is gone is not news if its node is unknown.
func (t *table) merge(r record, now time.Time) bool {
	if r.Node == "" || r.DataCentre == "" {
		return false
	}
	if r.DataCentre != t.home && r.Health == healthSuspect {
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
		t.dropContacts(r.Node)
	}
	known.record = r
}

// mergeContact takes a contact over if it is later than what is known.
func (t *table) mergeContact(c contact) bool {
	from := t.entries[c.Node]
	if from == nil || from.Incarnation != c.Incarnation || from.gone() {
		return false
	}
	known, ok := t.contacts[c.key()]
	if ok && !c.supersedes(known) {
		return false
	}
	if ok {
		t.contactHash ^= known.hash()
	}
	t.contacts[c.key()] = c
	t.contactHash ^= c.hash()
	return true
}

// dropContacts forgets what a life that has ended said.
func (t *table) dropContacts(node domain.NodeID) {
	for key, c := range t.contacts {
		if key.node == node {
			t.contactHash ^= c.hash()
			delete(t.contacts, key)
		}
	}
}

// forgetGone drops lives that have been gone since before the given time.
func (t *table) forgetGone(before time.Time) bool {
	forgot := false
	for node, e := range t.entries {
		if !e.gone() || e.since.After(before) {
			continue
		}
		t.dropContacts(node)
		delete(t.entries, node)
		at, _ := slices.BinarySearch(t.order, node)
		t.order = slices.Delete(t.order, at, at+1)
		forgot = true
	}
	return forgot
}

// digest sums up the whole table.
func (t *table) digest() uint64 {
	sum := t.contactHash
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

// records returns the records of a data centre, sorted by node.
func (t *table) records(dc domain.DataCentre) []record {
	var records []record
	for _, node := range t.order {
		if e := t.entries[node]; e.DataCentre == dc {
			records = append(records, e.record)
		}
	}
	return records
}
