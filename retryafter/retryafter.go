// Package retryafter parses the Retry-After header field, in which a server says how long it wants no further requests.
package retryafter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// FieldName is the name of the header field.
const FieldName = "Retry-After"

// Parse returns the longest of the valid values, zero if there is none. Values are numbers of seconds that may have a fraction;
// one that exceeds time.Duration is cut to its maximum. The error describes values that are malformed, negative or repeated.
func Parse(values []string) (longest time.Duration, err error) {
	for _, text := range values {
		after, parseErr := parseSeconds(text)
		longest = max(longest, after)
		err = errors.Join(err, parseErr)
	}
	if len(values) > 1 {
		err = errors.Join(err, fmt.Errorf("%s has %d values", FieldName, len(values)))
	}
	return longest, err
}

func parseSeconds(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange) && seconds > 0, err == nil && !math.IsInf(seconds, 0) && seconds >= maxSeconds:
		return math.MaxInt64, nil
	case err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0:
		return 0, fmt.Errorf("%s must be a number of seconds, not %.40q", FieldName, text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// maxSeconds is the number of seconds from which on a time.Duration can't hold them.
const maxSeconds = math.MaxInt64 / float64(time.Second)
