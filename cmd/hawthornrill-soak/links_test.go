package soak

import (
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// linkFault is a fault between a node and endpoints: what becomes of the open connections and of new ones.
type linkFault struct {
	name     string
	open     mode
	newConns newConns
}

var linkFaults = []linkFault{
	{"links hang", modeSilent, newConnsHang},
	{"links hang back", modeSilentFromServer, newConnsHang},
	{"links reset", modeReset, newConnsRefused},
	{"links reset, new hang", modeReset, newConnsHang},
	{"old links live, new refused", modePass, newConnsRefused},
	{"old links live, new hang", modePass, newConnsHang},
}

// endpointLinks are the paths of one node to the endpoints. The node sees the store through them, with the address of a proxy
// of its own in place of each endpoint's.
type endpointLinks struct {
	t *testing.T
	// view is the store as the node sees it.
	view *platformtest.View

	mu      sync.Mutex
	proxies map[string]*proxy
	fault   *linkFault
	// cut reports whether the fault concerns the endpoint with the address.
	cut func(address string) bool
	// down are the addresses of endpoints that have ended.
	down map[string]bool
}

func newEndpointLinks(t *testing.T) *endpointLinks {
	return &endpointLinks{t: t, proxies: make(map[string]*proxy), down: make(map[string]bool)}
}

// setDown sets whether the endpoint with the address has ended, so that connections to it are refused.
func (l *endpointLinks) setDown(address string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[address] = down
	if p, ok := l.proxies[address]; ok {
		l.apply(address, p)
	}
}

// serveStore returns the address of the store as the node sees it.
func (l *endpointLinks) serveStore(store *platformtest.Store) string {
	l.view = store.View(l.rewrite)
	server := httptest.NewServer(l.view)
	l.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// rewrite replaces an endpoint's address by that of its proxy.
func (l *endpointLinks) rewrite(key string, value []byte) []byte {
	if !strings.HasPrefix(key, "servers/") {
		return value
	}
	return loopbackAddress.ReplaceAllFunc(value, func(address []byte) []byte { return []byte(l.proxy(string(address)).address()) })
}

func (l *endpointLinks) proxy(address string) *proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.proxies[address]
	if !ok {
		p = newProxy(l.t, address)
		l.proxies[address] = p
		l.apply(address, p)
	}
	return p
}

// begin begins a fault on the paths to the endpoints that cut accepts; it ends one that is there.
func (l *endpointLinks) begin(f linkFault, cut func(address string) bool) {
	l.set(&f, cut)
}

// end ends the fault. Connections that it silenced stay silent.
func (l *endpointLinks) end() { l.set(nil, nil) }

func (l *endpointLinks) set(f *linkFault, cut func(string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.cut = f, cut
	for address, p := range l.proxies {
		l.apply(address, p)
	}
}

// apply brings a proxy into the state that the fault calls for. The lock is held.
func (l *endpointLinks) apply(address string, p *proxy) {
	if l.fault == nil || !l.cut(address) {
		if l.down[address] {
			p.setNewConns(newConnsRefused)
			return
		}
		p.setNewConns(newConnsPass)
		p.setMode(modePass)
		return
	}
	p.setNewConns(l.fault.newConns)
	p.setMode(l.fault.open)
}

// carried reports whether a connection of the node brought the arrival to the endpoint with the address.
func (l *endpointLinks) carried(address string, a platformtest.Arrival) bool {
	l.mu.Lock()
	p := l.proxies[address]
	l.mu.Unlock()
	return p != nil && p.carried(a.From, a.At)
}

// sender returns the node that sent the endpoint the request: the one that its caller chose, or another that served it for that one.
func (s *soak) sender(e *platformtest.Endpoint, a platformtest.Arrival) string {
	for i, l := range s.links {
		if l.carried(e.Address(), a) {
			return s.nodes[i].name
		}
	}
	return ""
}

// allEndpoints is the cut of a node from all endpoints.
func allEndpoints(string) bool { return true }
