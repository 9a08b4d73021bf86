package document

import "slices"

const (
	// maxEditRecords is the number of accepted edits that a head records.
	maxEditRecords = 32
	// maxRejectedRecords is the number of rejected edits that a head records.
	maxRejectedRecords = 16
)

// head is the value of a document's head key in the store.
type head struct {
	Version Version `cbor:"1,keyasint"`
	// Inline has the parts of a small value, if the document keeps no history.
	Inline [][]byte `cbor:"2,keyasint,omitempty"`
	// History lists the earlier versions that can still be read, newest first.
	History []Version `cbor:"3,keyasint,omitempty"`
	// OlderEdits lists accepted edits from before those of History, newest first.
	OlderEdits []Stamp `cbor:"4,keyasint,omitempty"`
	// Delta encodes the manifest relative to that of an earlier version, if the delta
	// is small. A watcher that has the earlier version need not read the manifest.
	Delta *delta `cbor:"6,keyasint,omitempty"`
	// Rejected lists edits that ResolveEdit marked as rejected, newest first.
	Rejected []EditID `cbor:"5,keyasint,omitempty"`
}

// next returns the head for the version that follows h.
func (h head) next(version Version, inline [][]byte, keepHistory int) head {
	next := head{Version: version, Inline: inline, Rejected: h.Rejected}
	if h.Version.Generation == 0 {
		return next
	}
	next.History = firstN(slices.Concat([]Version{h.Version}, h.History), keepHistory)
	// The first stamps of edits are those of h itself and of the kept history.
	older := h.edits()[len(next.History):]
	next.OlderEdits = firstN(older, max(0, maxEditRecords-1-len(next.History)))
	return next
}

// edits returns the recorded accepted edits, newest first.
func (h head) edits() []Stamp {
	edits := []Stamp{h.Version.Stamp}
	for _, version := range h.History {
		edits = append(edits, version.Stamp)
	}
	return append(edits, h.OlderEdits...)
}

// delta encodes a manifest relative to that of the content with root hash Base.
type delta struct {
	Base Hash      `cbor:"1,keyasint"`
	Runs []hashRun `cbor:"2,keyasint"`
}

// maxDeltaRuns and maxDeltaNewHashes limit the size of a delta.
const (
	maxDeltaRuns      = 32
	maxDeltaNewHashes = 32
)

// manifest decodes the manifest from the head's delta, if one of the known versions
// is its base.
func (h head) manifest(known ...*loadedVersion) ([]Hash, bool) {
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

// deltaOf returns the delta from base to next, or nil if it exceeds the limits.
func deltaOf(base *loadedVersion, next *content) *delta {
	if base == nil || base.content == nil {
		return nil
	}
	runs := diffManifests(base.content.hashes, next.hashes)
	newHashes := 0
	for _, r := range runs {
		newHashes += len(r.New)
	}
	if len(runs) > maxDeltaRuns || newHashes > maxDeltaNewHashes {
		return nil
	}
	return &delta{Base: base.content.root, Runs: runs}
}

// reject returns the head with the edit marked as rejected.
func (h head) reject(id EditID) head {
	h.Rejected = firstN(slices.Concat([]EditID{id}, h.Rejected), maxRejectedRecords)
	return h
}

// accepted returns the version that the edit created, if the head records it.
func (h head) accepted(id EditID) (Version, bool) {
	for _, version := range slices.Concat([]Version{h.Version}, h.History) {
		if version.Edit == id {
			return version, true
		}
	}
	for _, stamp := range h.OlderEdits {
		if stamp.Edit == id {
			return Version{Stamp: stamp}, true
		}
	}
	return Version{}, false
}

// isRejected reports whether the edit is marked as rejected.
func (h head) isRejected(id EditID) bool { return slices.Contains(h.Rejected, id) }

// recordsEditsAfter reports whether the head records all edits after the given
// generation. An edit that is not among them then definitely was not accepted since.
func (h head) recordsEditsAfter(generation uint64) bool {
	next := h.Version.Generation
	for _, stamp := range h.edits() {
		if next <= generation || stamp.Generation != next {
			break
		}
		next--
	}
	return next <= generation
}

// version returns the version with the given generation, if it can still be read.
func (h head) version(generation uint64) (Version, bool) {
	for _, version := range slices.Concat([]Version{h.Version}, h.History) {
		if version.Generation == generation {
			return version, true
		}
	}
	return Version{}, false
}

func firstN[T any](s []T, n int) []T { return s[:min(n, len(s))] }
