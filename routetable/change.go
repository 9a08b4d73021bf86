package routetable

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hawthornrill.example/hawthornrill/domain"
)

// ErrChangeMismatch means that a change can't be applied to a table: it is for another version, or gives another table than the
// one that it was made of.
var ErrChangeMismatch = errors.New("routetable: the change does not fit")

// Change is the difference between two versions of the configuration. A key that is taken away is some hundred bytes of
// it, whatever the size of the configuration. It is CBOR between nodes.
type Change struct {
	// From is the version to which it applies, To the one that it gives.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Digest is that of the table that it gives.
	Digest   uint64    `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	Services []Service `cbor:"5,keyasint,omitempty"`
	// Routes were added or changed, RemovedRoutes are there no more.
	Routes        []Route   `cbor:"6,keyasint,omitempty"`
	RemovedRoutes []routeID `cbor:"7,keyasint,omitempty"`
	// Organisations were added or changed, RemovedOrganisations are there no more.
	Organisations        []Organisation          `cbor:"8,keyasint,omitempty"`
	RemovedOrganisations []domain.OrganisationID `cbor:"9,keyasint,omitempty"`
}

// routeID is what tells the routes of a table apart.
type routeID struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

func (r *Route) id() routeID { return routeID{r.Host, r.Prefix} }

func (r routeID) compare(o routeID) int {
	return cmp.Or(strings.Compare(r.Host, o.Host), strings.Compare(r.Prefix, o.Prefix))
}

// Diff returns the change from one table to a later one.
func Diff(from, to *Table) *Change {
	c := &Change{From: from.Version, To: to.Version, Digest: to.Digest(), Limits: to.Limits, Services: to.services()}
	was, is := from.routesByID(), to.routesByID()
	for _, r := range to.sortedRoutes() {
		if old := was[r.id()]; old == nil || !reflect.DeepEqual(old, r) {
			c.Routes = append(c.Routes, *r)
		}
	}
	for _, r := range from.sortedRoutes() {
		if is[r.id()] == nil {
			c.RemovedRoutes = append(c.RemovedRoutes, r.id())
		}
	}
	c.compareOrganisations(from, to)
	return c
}

func (c *Change) compareOrganisations(from, to *Table) {
	was, is := from.organisationsByID(), to.organisationsByID()
	for _, o := range to.Organisations {
		if old := was[o.ID]; old == nil || !reflect.DeepEqual(old, &o) {
			c.Organisations = append(c.Organisations, o)
		}
	}
	for _, o := range from.Organisations {
		if is[o.ID] == nil {
			c.RemovedOrganisations = append(c.RemovedOrganisations, o.ID)
		}
	}
}

// Apply returns the table that the change makes of this one, or an error that wraps ErrChangeMismatch.
func (t *Table) Apply(c *Change) (*Table, error) {
	if t.Version != c.From || c.To <= c.From {
		return nil, fmt.Errorf("%w: it leads from version %d to %d, the table is version %d", ErrChangeMismatch, c.From, c.To, t.Version)
	}
	next, err := New(c.To, t.changedRoutes(c), c.Services, t.changedOrganisations(c), c.Limits)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrChangeMismatch, err)
	}
	if next.Digest() != c.Digest {
		return nil, fmt.Errorf("%w: it gives another table of version %d", ErrChangeMismatch, c.To)
	}
	return next, nil
}

func (t *Table) changedRoutes(c *Change) []Route {
	byID := t.routesByID()
	for _, id := range c.RemovedRoutes {
		delete(byID, id)
	}
	for i := range c.Routes {
		byID[c.Routes[i].id()] = &c.Routes[i]
	}
	routes := make([]Route, 0, len(byID))
	for _, r := range byID {
		routes = append(routes, *r)
	}
	return routes
}

func (t *Table) changedOrganisations(c *Change) []Organisation {
	byID := t.organisationsByID()
	for _, id := range c.RemovedOrganisations {
		delete(byID, id)
	}
	for i := range c.Organisations {
		byID[c.Organisations[i].ID] = &c.Organisations[i]
	}
	organisations := make([]Organisation, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		organisations = append(organisations, *byID[id])
	}
	return organisations
}

// Digest is equal for two tables of one version with the same rows, in whatever order they were written.
func (t *Table) Digest() uint64 {
	d := xxhash.New()
	put := func(v any) { _, _ = fmt.Fprintf(d, "%+v\n", v) } // a hash does not fail
	put(t.Version)
	put(t.Limits)
	for _, s := range t.services() {
		put(s)
	}
	for _, r := range t.sortedRoutes() {
		put(*r)
	}
	byID := t.organisationsByID()
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		put(*byID[id])
	}
	return d.Sum64()
}

func (t *Table) services() []Service {
	services := make([]Service, 0, len(t.Services))
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		services = append(services, t.Services[name])
	}
	return services
}

// sortedRoutes returns the routes by host and prefix. Of two with the same, the one that is used comes first.
func (t *Table) sortedRoutes() []*Route {
	var routes []*Route
	for _, list := range t.hosts {
		routes = append(routes, list...)
	}
	slices.SortStableFunc(routes, func(a, b *Route) int { return a.id().compare(b.id()) })
	return routes
}

func (t *Table) routesByID() map[routeID]*Route {
	byID := make(map[routeID]*Route, t.RouteCount())
	for _, list := range t.hosts {
		for _, r := range list {
			if byID[r.id()] == nil {
				byID[r.id()] = r
			}
		}
	}
	return byID
}

func (t *Table) organisationsByID() map[domain.OrganisationID]*Organisation {
	byID := make(map[domain.OrganisationID]*Organisation, len(t.Organisations))
	for i := range t.Organisations {
		byID[t.Organisations[i].ID] = &t.Organisations[i]
	}
	return byID
}
