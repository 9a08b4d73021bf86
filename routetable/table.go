// Package routetable holds the configuration of the request path: routes, services, organisations with their keys, and
// limits for callers. A Table is immutable; lookups take no lock and allocate nothing.
package routetable

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid means that a configuration is invalid; it is wrapped with the row at fault.
var ErrInvalid = errors.New("routetable: invalid configuration")

// Table is one version of the configuration.
type Table struct {
	Version       uint64
	Limits        Limits
	Services      map[string]Service
	Organisations []Organisation

	hosts map[string][]*Route
	keys  map[string]*Organisation
}

// New validates the rows and returns a table of them. The slices must not be changed afterwards.
func New(version uint64, routes []Route, services []Service, organisations []Organisation, limits Limits) (*Table, error) {
	t := &Table{
		Version:       version,
		Limits:        limits,
		Services:      make(map[string]Service, len(services)),
		Organisations: organisations,
		hosts:         make(map[string][]*Route),
		keys:          make(map[string]*Organisation),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		if err := t.addRoute(&routes[i]); err != nil {
			return nil, err
		}
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range organisations {
		for _, key := range organisations[i].Keys {
			t.keys[key] = &organisations[i]
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if len(r.Splits) == 0 {
		return fmt.Errorf("%w: route %q names no service", ErrInvalid, r.Name)
	}
	for _, s := range r.Splits {
		if _, ok := t.Services[s.Service]; !ok {
			return fmt.Errorf("%w: route %q names the unknown service %q", ErrInvalid, r.Name, s.Service)
		}
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("%w: route %q: prefix %q does not begin with a slash", ErrInvalid, r.Name, r.Prefix)
	}
	r.MaxEndpoints = max(r.MaxEndpoints, 1)
	t.hosts[r.Host] = append(t.hosts[r.Host], r)
	return nil
}

// Route returns the route with the longest prefix of the path at the host, or nil. The host may include a port.
func (t *Table) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that owns the key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// RequiresKeys reports whether requests on non-public routes must carry a key.
func (t *Table) RequiresKeys() bool { return len(t.Organisations) > 0 }

func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
