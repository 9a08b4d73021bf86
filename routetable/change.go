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

// ErrChangeMismatch means that a change cannot be applied to a table: it is for another version, or the resulting table
// is not the one from which the change oldByID computed.
var ErrChangeMismatch = errors.New("routetable: change does not match the table")

// Change is the difference between two versions of the configuration. Removing a key takes a change of some hundred
// bytes, whatever the size of the configuration. Nodes exchange it in CBOR.
type Change struct {
	// From is the version to which the change applies, To the resulting version.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Digest is that of the resulting table.
	Digest   uint64    `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	Services []Service `cbor:"5,keyasint,omitempty"`
	// Routes were added or changed, RemovedRoutes were removed.
	Routes        []Route   `cbor:"6,keyasint,omitempty"`
	RemovedRoutes []routeID `cbor:"7,keyasint,omitempty"`
	// Organisations were added or changed, RemovedOrganisations were removed.
	Organisations        []Organisation          `cbor:"8,keyasint,omitempty"`
	RemovedOrganisations []domain.OrganisationID `cbor:"9,keyasint,omitempty"`
}

// routeID identifies a route within a table.
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
	oldByID, newByID := from.routesByID(), to.routesByID()
	for _, r := range to.sortedRoutes() {
		if old := oldByID[r.id()]; old == nil || !reflect.DeepEqual(old, r) {
			c.Routes = append(c.Routes, *r)
		}
	}
	for _, r := range from.sortedRoutes() {
		if newByID[r.id()] == nil {
			c.RemovedRoutes = append(c.RemovedRoutes, r.id())
		}
	}
	c.compareOrganisations(from, to)
	return c
}

func (c *Change) compareOrganisations(from, to *Table) {
	oldByID, newByID := from.organisationsByID(), to.organisationsByID()
	for _, o := range to.Organisations {
		if old := oldByID[o.ID]; old == nil || !reflect.DeepEqual(old, &o) {
			c.Organisations = append(c.Organisations, o)
		}
	}
	for _, o := range from.Organisations {
		if newByID[o.ID] == nil {
			c.RemovedOrganisations = append(c.RemovedOrganisations, o.ID)
		}
	}
}

// Apply returns the table that results from the change, or an error that wraps ErrChangeMismatch.
func (t *Table) Apply(c *Change) (*Table, error) {
	if t.Version != c.From || c.To <= c.From {
		return nil, fmt.Errorf("%w: change is from version %d to %d, table has version %d", ErrChangeMismatch, c.From, c.To, t.Version)
	}
	next, err := New(c.To, t.changedRoutes(c), c.Services, t.changedOrganisations(c), c.Limits)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrChangeMismatch, err)
	}
	if next.Digest() != c.Digest {
		return nil, fmt.Errorf("%w: digest of the resulting version %d differs", ErrChangeMismatch, c.To)
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

// Digest is equal for two tables of one version with the same rows, whatever the order of the rows. It covers the field
// names of the rows as well as their values, so all nodes must agree on them.
func (t *Table) Digest() uint64 {
	d := xxhash.New()
	write := func(v any) { _, _ = fmt.Fprintf(d, "%+v\n", v) } // xxhash.Digest never returns an error
	write(t.Version)
	write(t.Limits)
	for _, s := range t.services() {
		write(s)
	}
	for _, r := range t.sortedRoutes() {
		write(*r)
	}
	byID := t.organisationsByID()
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		write(*byID[id])
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

// sortedRoutes returns the routes by host and prefix. Of two routes with the same host and prefix, the one that takes
// the requests comes first.
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
