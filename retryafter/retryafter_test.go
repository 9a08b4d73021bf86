package retryafter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	tests := []struct {
		name   string
		values []string
		want   time.Duration
		valid  bool
	}{
		{"absent", nil, 0, true},
		{"whole", []string{"3"}, 3 * time.Second, true},
		{"fraction", []string{"0.25"}, 250 * time.Millisecond, true},
		{"zero", []string{"0"}, 0, true},
		{"empty", []string{""}, 0, false},
		{"words", []string{"soon"}, 0, false},
		{"date", []string{"Fri, 31 Dec 1999 23:59:59 GMT"}, 0, false},
		{"negative", []string{"-3"}, 0, false},
		{"not a number", []string{"NaN"}, 0, false},
		{"infinite", []string{"Inf"}, 0, false},
		{"exceeds a duration", []string{"1e12"}, math.MaxInt64, true},
		{"exceeds a float", []string{"1e999"}, math.MaxInt64, true},
		{"negative, exceeds a float", []string{"-1e999"}, 0, false},
		{"repeated, the longest counts", []string{"1", "4", "2"}, 4 * time.Second, false},
		{"repeated, one invalid", []string{"x", "2"}, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := Parse(test.values)
			assert.Equal(t, got, test.want)
			assert.Equal(t, err == nil, test.valid, "%v", err)
		})
	}
}
