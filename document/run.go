package document

import "fmt"

// run is a piece of a manifest, told as a difference to another one: Count
// hashes of the base from Start, or new ones.
type run struct {
	Start int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	New   []Hash `cbor:"3,keyasint,omitempty"`
}

// diffManifests tells next as runs of base.
func diffManifests(base, next []Hash) []run {
	position := make(map[Hash]int, len(base))
	for i, h := range base {
		position[h] = i
	}
	var runs []run
	for _, h := range next {
		runs = appendRun(runs, h, position)
	}
	return runs
}

func appendRun(runs []run, h Hash, position map[Hash]int) []run {
	at, known := position[h]
	last := len(runs) - 1
	switch {
	case !known && last >= 0 && len(runs[last].New) > 0:
		runs[last].New = append(runs[last].New, h)
	case !known:
		runs = append(runs, run{New: []Hash{h}})
	case last >= 0 && runs[last].Count > 0 && runs[last].Start+runs[last].Count == at:
		runs[last].Count++
	default:
		runs = append(runs, run{Start: at, Count: 1})
	}
	return runs
}

// applyRuns returns the manifest that the runs tell.
func applyRuns(base []Hash, runs []run) ([]Hash, error) {
	var next []Hash
	for _, r := range runs {
		if r.Start < 0 || r.Count < 0 || r.Start > len(base) || r.Count > len(base)-r.Start {
			return nil, fmt.Errorf("%w: run outside its base", errCorrupt)
		}
		next = append(next, base[r.Start:r.Start+r.Count]...)
		next = append(next, r.New...)
	}
	return next, nil
}
