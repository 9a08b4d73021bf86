package capacity

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

// progressCode is a grant's progress in coarse steps, so that few renewals carry it:
// not dispatched, dispatched, first token, then each doubling from progressStep tokens.
type progressCode uint8

const (
	progressNone progressCode = iota
	progressDispatched
	progressFirstToken
	progressSteps
)

// progressStep is the number of answer tokens of the first step after the first token.
const progressStep = 64

// progressCodeOf returns the code for the number of answer tokens of a dispatched
// request.
func progressCodeOf(tokens int) progressCode {
	switch {
	case tokens <= 0:
		return progressDispatched
	case tokens < progressStep:
		return progressFirstToken
	default:
		return progressSteps + progressCode(bits.Len(uint(tokens/progressStep))) - 1
	}
}

// tokens returns the least number of answer tokens that has the code.
func (c progressCode) tokens() int {
	switch {
	case c < progressFirstToken:
		return 0
	case c == progressFirstToken:
		return 1
	default:
		return progressStep << min(c-progressSteps, 40)
	}
}

// progressChange is a grant's new progress.
type progressChange struct {
	id   requestID
	code progressCode
}

// encodeProgress returns the changes sorted by identifier, each as the difference to
// the previous identifier and the code.
func encodeProgress(changes []progressChange) []byte {
	slices.SortFunc(changes, func(a, b progressChange) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	var out []byte
	var last requestID
	for _, c := range changes {
		out = binary.AppendUvarint(out, uint64(c.id-last))
		out = append(out, byte(c.code))
		last = c.id
	}
	return out
}

// decodeProgress is the inverse of encodeProgress.
func decodeProgress(data []byte) ([]progressChange, error) {
	var changes []progressChange
	var last requestID
	for len(data) > 0 {
		difference, n := binary.Uvarint(data)
		if n <= 0 || len(data) <= n {
			return nil, errMalformedIDList
		}
		last += requestID(difference)
		changes = append(changes, progressChange{id: last, code: progressCode(data[n])})
		data = data[n+1:]
	}
	return changes, nil
}
