package document

import "slices"

const (
	// editRecords is how many accepted edits a head remembers by identifier.
	editRecords = 32
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
	// Older are the accepted edits before those of History, newest first.
	Older []Stamp `cbor:"4,keyasint,omitempty"`
	// Delta tells the manifest as a difference to an earlier version's, if that is
	// small: a watcher that has the earlier one need not read the manifest.
	Delta *delta `cbor:"6,keyasint,omitempty"`
	// Refused are edits that were settled as not accepted.
	Refused []EditID `cbor:"5,keyasint,omitempty"`
}

// next returns the head of the version that follows.
func (h head) next(version Version, inline [][]byte, keepHistory int) head {
	next := head{Version: version, Inline: inline, Refused: h.Refused}
	if h.Version.Generation == 0 {
		return next
	}
	next.History = firstOf(slices.Concat([]Version{h.Version}, h.History), keepHistory)
	// The first stamps are this version's and those of the history.
	older := h.edits()[len(next.History):]
	next.Older = firstOf(older, max(0, editRecords-1-len(next.History)))
	return next
}

// edits returns the accepted edits that are remembered, newest first.
func (h head) edits() []Stamp {
	edits := []Stamp{h.Version.Stamp}
	for _, version := range h.History {
		edits = append(edits, version.Stamp)
	}
	return append(edits, h.Older...)
}

// delta is a manifest as a difference to that of the content named by Base.
type delta struct {
	Base Hash  `cbor:"1,keyasint"`
	Runs []run `cbor:"2,keyasint"`
}

// maxDeltaRuns and maxDeltaHashes bound a delta.
const (
	maxDeltaRuns   = 32
	maxDeltaHashes = 32
)

// manifest returns the version's manifest, if the head's delta and the known
// versions tell it.
func (h head) manifest(known ...*held) ([]Hash, bool) {
	for _, k := range known {
		if h.Delta == nil || k == nil || k.content.root != h.Delta.Base {
			continue
		}
		hashes, err := applyRuns(k.content.hashes, h.Delta.Runs)
		if err == nil && hashOf(encodeManifest(hashes)) == h.Version.Root {
			return hashes, true
		}
	}
	return nil, false
}

// deltaOf returns the difference between two contents; nil if it isn't small.
func deltaOf(base *held, next *content) *delta {
	if base == nil || base.content == nil {
		return nil
	}
	runs := diffManifests(base.content.hashes, next.hashes)
	fresh := 0
	for _, r := range runs {
		fresh += len(r.New)
	}
	if len(runs) > maxDeltaRuns || fresh > maxDeltaHashes {
		return nil
	}
	return &delta{Base: base.content.root, Runs: runs}
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
	for _, stamp := range h.Older {
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
	for _, stamp := range h.edits() {
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
