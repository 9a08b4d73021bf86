package document

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// peers is what the package needs to know of the other nodes, at one moment.
type peers struct {
	self  domain.Member
	local []domain.Member
	// remote has the members of each other data centre.
	remote map[domain.DataCentre][]domain.Member
}

// peersOf sorts the reachable members by data centre. Leaving nodes count: they
// serve until they end. local includes the node itself.
func peersOf(snapshot *membership.Snapshot, self domain.Member) peers {
	p := peers{self: self, remote: make(map[domain.DataCentre][]domain.Member)}
	p.local = append(p.local, self)
	if snapshot == nil {
		return p
	}
	for _, each := range snapshot.Peers {
		reachable := each.Status == membership.StatusAlive || each.Status == membership.StatusLeaving
		switch {
		case !reachable || each.Node == self.Node:
		case each.DataCentre == self.DataCentre:
			p.local = append(p.local, each.Member)
		default:
			p.remote[each.DataCentre] = append(p.remote[each.DataCentre], each.Member)
		}
	}
	return p
}

// others returns the local members but the node itself.
func (p peers) others() []domain.Member {
	return slices.DeleteFunc(slices.Clone(p.local), p.isSelf)
}

func (p peers) isSelf(m domain.Member) bool { return m.Node == p.self.Node }

// heads returns the members of a data centre that speak for it about a document.
func heads(name string, members []domain.Member, count int) []domain.Member {
	return firstOf(ranked(name, members), count)
}

// isHead reports whether the node is one of its data centre's heads.
func (p peers) isHead(name string, count int) bool {
	return slices.ContainsFunc(heads(name, p.local, count), p.isSelf)
}

// remoteHeads returns the heads of all other data centres.
func (p peers) remoteHeads(name string, count int) []domain.Member {
	var all []domain.Member
	for _, members := range p.remote {
		all = append(all, heads(name, members, count)...)
	}
	return all
}

// anyLocal returns a random other member of the data centre.
func (p peers) anyLocal() (domain.Member, bool) { return anyOf(p.others()) }

// partnerCentres is with how many other data centres one compares. They stay the
// same, so that links to them stay open; over few steps they reach all.
const partnerCentres = 3

// anyPartner returns a random node of those that the data centre compares with.
func (p peers) anyPartner(watchers int) (domain.Member, bool) {
	centres := slices.Collect(maps.Keys(p.remote))
	rank := func(centre domain.DataCentre) uint64 { return score(string(p.self.DataCentre), domain.NodeID(centre)) }
	slices.SortFunc(centres, func(a, b domain.DataCentre) int { return cmp.Compare(rank(a), rank(b)) })
	var partners []domain.Member
	for _, centre := range firstOf(centres, partnerCentres) {
		partners = append(partners, heads(partnerKey, p.remote[centre], watchers)...)
	}
	return anyOf(partners)
}

// partnerKey chooses the nodes that other data centres compare with.
const partnerKey = "partners"

func anyOf(members []domain.Member) (domain.Member, bool) {
	if len(members) == 0 {
		return domain.Member{}, false
	}
	return members[rand.IntN(len(members))], true
}
