package document

import "fmt"

// hashRun is an element of a manifest delta. It stands either for Count consecutive
// hashes of the base manifest from index Start, or for the hashes in New.
type hashRun struct {
	Start int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	New   []Hash `cbor:"3,keyasint,omitempty"`
}

// diffManifests encodes next as a delta to base.
func diffManifests(base, next []Hash) []hashRun {
	position := make(map[Hash]int, len(base))
	for i, h := range base {
		position[h] = i
	}
	var runs []hashRun
	for _, h := range next {
		runs = appendRun(runs, h, position)
	}
	return runs
}

func appendRun(runs []hashRun, h Hash, position map[Hash]int) []hashRun {
	at, known := position[h]
	last := len(runs) - 1
	switch {
	case !known && last >= 0 && len(runs[last].New) > 0:
		runs[last].New = append(runs[last].New, h)
	case !known:
		runs = append(runs, hashRun{New: []Hash{h}})
	case last >= 0 && runs[last].Count > 0 && runs[last].Start+runs[last].Count == at:
		runs[last].Count++
	default:
		runs = append(runs, hashRun{Start: at, Count: 1})
	}
	return runs
}

// applyRuns decodes a delta to the base manifest. Runs come from peers or the
// store, so their bounds are checked.
func applyRuns(base []Hash, runs []hashRun) ([]Hash, error) {
	var next []Hash
	for _, r := range runs {
		if r.Start < 0 || r.Count < 0 || r.Start > len(base) || r.Count > len(base)-r.Start {
			return nil, fmt.Errorf("%w: delta refers to hashes outside its base manifest", errCorrupt)
		}
		next = append(next, base[r.Start:r.Start+r.Count]...)
		next = append(next, r.New...)
	}
	return next, nil
}
