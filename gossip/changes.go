package gossip

import "hawthornrill.example/hawthornrill/directory"

// SetEndpointChanges sets the endpoint changes that the report passes on, and whether the receivers may rely on that.
func (r *Report) SetEndpointChanges(changes []directory.Change, reliable bool) {
	r.Changes, r.PassesOn, r.StatesVersions = changes, reliable, reliable
	r.Versions = make([][]string, len(changes))
	for i, c := range changes {
		for _, e := range c.Listed {
			r.Versions[i] = append(r.Versions[i], e.Version)
		}
	}
}

// EndpointChanges returns the endpoint changes that the report passes on, with the endpoints' versions. There are none if the
// report does not state the versions: the receiver then reads the list itself.
func (r *Report) EndpointChanges() []directory.Change {
	if len(r.Versions) != len(r.Changes) {
		return nil
	}
	for i, c := range r.Changes {
		if len(r.Versions[i]) != len(c.Listed) {
			return nil
		}
		for j, e := range c.Listed {
			e.Version = r.Versions[i][j]
		}
	}
	return r.Changes
}

// forwardsChanges reports whether the receivers of the sender's data centre may rely on it for endpoint changes.
func (r *Report) forwardsChanges() bool { return r.PassesOn && r.StatesVersions }
