package document

import "slices"

const (
	// editRecords is how many accepted edits a head remembers by identifier.
	editRecords = 64
	// refusedRecords is how many edits settled as not accepted it remembers.
	refusedRecords = 16
)

// head is what the store holds under the head key.
type head struct {
	Version Version `cbor:"1,keyasint"`
	// Inline are the parts of a small value without history.
	Inline [][]byte `cbor:"2,keyasint,omitempty"`
	// History are the earlier versions that can still be read, newest first.
	History []Version `cbor:"3,keyasint,omitempty"`
	// Edits are the last accepted edits, newest first, this version's included.
	Edits []Stamp `cbor:"4,keyasint,omitempty"`
	// Refused are edits that were settled as not accepted.
	Refused []EditID `cbor:"5,keyasint,omitempty"`
}

// next returns the head of the version that follows.
func (h head) next(version Version, inline [][]byte, keepHistory int) head {
	return head{
		Version: version,
		Inline:  inline,
		History: h.pushHistory(keepHistory),
		Edits:   firstOf(slices.Concat([]Stamp{version.Stamp}, h.Edits), editRecords),
		Refused: h.Refused,
	}
}

func (h head) pushHistory(keep int) []Version {
	if h.Version.Generation == 0 {
		return nil
	}
	return firstOf(slices.Concat([]Version{h.Version}, h.History), keep)
}

// refuse returns the same head with an edit marked as not accepted.
func (h head) refuse(id EditID) head {
	h.Refused = firstOf(slices.Concat([]EditID{id}, h.Refused), refusedRecords)
	return h
}

// accepted returns the version that an edit became.
func (h head) accepted(id EditID) (Version, bool) {
	for _, version := range slices.Concat([]Version{h.Version}, h.History) {
		if version.Edit == id {
			return version, true
		}
	}
	for _, stamp := range h.Edits {
		if stamp.Edit == id {
			return Version{Stamp: stamp}, true
		}
	}
	return Version{}, false
}

// isRefused reports whether the edit was settled as not accepted.
func (h head) isRefused(id EditID) bool { return slices.Contains(h.Refused, id) }

// covers reports whether all edits after the given generation are remembered, so
// that an edit which isn't among them certainly was not accepted since.
func (h head) covers(generation uint64) bool {
	next := h.Version.Generation
	for _, stamp := range h.Edits {
		if next <= generation || stamp.Generation != next {
			break
		}
		next--
	}
	return next <= generation
}

// version finds a version that can still be read.
func (h head) version(generation uint64) (Version, bool) {
	for _, version := range slices.Concat([]Version{h.Version}, h.History) {
		if version.Generation == generation {
			return version, true
		}
	}
	return Version{}, false
}

func firstOf[T any](s []T, n int) []T { return s[:min(n, len(s))] }
