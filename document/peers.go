package document

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// peers has the reachable members of a membership snapshot by data centre.
type peers struct {
	self  domain.Member
	local []domain.Member
	// remote has the members of each other data centre.
	remote map[domain.DataCentre][]domain.Member
}

// peersOf groups the reachable members by data centre. Leaving nodes are included
// because they serve until they stop. local includes the node itself.
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

// others returns the local members except the node itself.
func (p peers) others() []domain.Member {
	return slices.DeleteFunc(slices.Clone(p.local), p.isSelf)
}

func (p peers) isSelf(m domain.Member) bool { return m.Node == p.self.Node }

// representatives returns the first members in rendezvous order for the name, which
// as a rule is a document's. They act for their data centre: they watch the store,
// compare with other data centres and answer status queries.
func representatives(name string, members []domain.Member, count int) []domain.Member {
	return firstN(ranked(name, members), count)
}

// isRepresentative reports whether the node is one of its data centre's
// representatives for the document.
func (p peers) isRepresentative(name string, count int) bool {
	return slices.ContainsFunc(representatives(name, p.local, count), p.isSelf)
}

// remoteRepresentatives returns the representatives of all other data centres.
func (p peers) remoteRepresentatives(name string, count int) []domain.Member {
	var all []domain.Member
	for _, members := range p.remote {
		all = append(all, representatives(name, members, count)...)
	}
	return all
}

// randomLocal returns a random other member of the local data centre.
func (p peers) randomLocal() (domain.Member, bool) { return randomMember(p.others()) }

// maxPartnerDataCentres is the maximum number of other data centres that a data
// centre compares with. They stay the same so that links to them stay open. Versions reach
// all data centres over a few hops.
const maxPartnerDataCentres = 3

// randomPartner returns a random representative of the partner data centres.
func (p peers) randomPartner(watchers int) (domain.Member, bool) {
	centres := slices.Collect(maps.Keys(p.remote))
	rank := func(centre domain.DataCentre) uint64 { return score(string(p.self.DataCentre), domain.NodeID(centre)) }
	slices.SortFunc(centres, func(a, b domain.DataCentre) int { return cmp.Compare(rank(a), rank(b)) })
	var partners []domain.Member
	for _, centre := range firstN(centres, maxPartnerDataCentres) {
		partners = append(partners, representatives(partnerRankKey, p.remote[centre], watchers)...)
	}
	return randomMember(partners)
}

// partnerRankKey is the rendezvous key that selects the nodes with which other data
// centres compare.
const partnerRankKey = "partners"

func randomMember(members []domain.Member) (domain.Member, bool) {
	if len(members) == 0 {
		return domain.Member{}, false
	}
	return members[rand.IntN(len(members))], true
}
