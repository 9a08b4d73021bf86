package document

// Version describes one accepted version of a document, without its content.
type Version struct {
	Stamp
	// Author and Note are copied from the Edit.
	Author string `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	Note   string `cbor:"4,keyasint,omitempty" json:"note,omitempty"`
	// Size is the value's size in bytes.
	Size int `cbor:"5,keyasint" json:"size"`
	// Root is the hash of the manifest and identifies the content.
	Root Hash `cbor:"6,keyasint" json:"-"`
}

// loadedVersion is a version together with its content.
type loadedVersion struct {
	version Version
	content *content
}

// stamp returns the version's stamp, or the zero Stamp if h is nil.
func (h *loadedVersion) stamp() Stamp {
	if h == nil {
		return Stamp{}
	}
	return h.version.Stamp
}

// hashes returns the hashes of the content's parts, or nil if h is nil.
func (h *loadedVersion) hashes() []Hash {
	if h == nil {
		return nil
	}
	return h.content.hashes
}

// part returns the part with the given hash.
func (h *loadedVersion) part(hash Hash) ([]byte, bool) {
	if h == nil {
		return nil, false
	}
	return h.content.part(hash)
}
