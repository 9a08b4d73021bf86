package origin

// Origin is what began a stream: a version of the software of a service's endpoints. Versions have no order.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Version is empty if it is not known which version began the stream.
	Version string
}

// Known reports whether the version is known.
func (o Origin) Known() bool { return o.Version != "" }

// maxNameBytes bounds the names in messages of other nodes.
const maxNameBytes = 200

func (o Origin) valid() bool { return len(o.Service) <= maxNameBytes && len(o.Version) <= maxNameBytes }
