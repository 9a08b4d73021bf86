package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/hostlist/httphostlist"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/node"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
	"hawthornrill.example/hawthornrill/store/httpstore"
)

// newStore returns the platform's store, limited to this node's call budget.
func (d *Daemon) newStore(set *metrics.Set) store.Store {
	s := d.options.Settings.Platform
	client := httpstore.New(httpstore.Options{BaseURL: s.Store, Transport: restingTransport(maxStoreRest, d.options.Log)})
	return budget.New(client, budget.Options{
		BackgroundPerSecond: s.CallsPerSecond,
		Metrics:             set,
	})
}

// newHostList returns a client of the platform's host list.
func (d *Daemon) newHostList() *node.EntryHostList {
	options := httphostlist.Options{BaseURL: d.options.Settings.Platform.HostList}
	return node.NewEntryHostList(httphostlist.New(options))
}

// newMembership returns the membership service, which learns of members from the
// platform's host list, the seeds and the peers.
func (d *Daemon) newMembership(transport peer.Transport, list hostlist.List, set *metrics.Set) *membership.Service {
	return membership.New(membership.Options{
		Transport: transport,
		HostList:  list,
		Seeds:     d.seeds(),
		Logger:    d.options.Log,
		Metrics:   set,
	})
}

func (d *Daemon) seeds() []hostlist.Host {
	var hosts []hostlist.Host
	for _, seed := range d.options.Settings.Peers.Seeds {
		hosts = append(hosts, hostlist.Host{
			Node:       seed.Node,
			Address:    seed.Address,
			DataCentre: seed.DataCentre,
			State:      hostlist.StateLive,
		})
	}
	return hosts
}
