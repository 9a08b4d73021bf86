package document

// Version describes one accepted value.
type Version struct {
	Stamp
	// Author and Note are what the edit said of itself.
	Author string `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	Note   string `cbor:"4,keyasint,omitempty" json:"note,omitempty"`
	// Size is the value's size in bytes.
	Size int `cbor:"5,keyasint" json:"size"`
	// Root names the value's content.
	Root Hash `cbor:"6,keyasint" json:"-"`
}

// held is a version with its content.
type held struct {
	version Version
	content *content
}

// stamp returns the version's stamp; the zero stamp for none.
func (h *held) stamp() Stamp {
	if h == nil {
		return Stamp{}
	}
	return h.version.Stamp
}

// hashes returns the content's manifest.
func (h *held) hashes() []Hash {
	if h == nil {
		return nil
	}
	return h.content.hashes
}

// part returns a part of the content.
func (h *held) part(name Hash) ([]byte, bool) {
	if h == nil {
		return nil, false
	}
	return h.content.part(name)
}
