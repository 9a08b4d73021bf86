package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestReservationsAreBounded(t *testing.T) {
	budget := &byteBudget{limit: 100}
	first, second := reservation{budget: budget}, reservation{budget: budget}
	assert.Assert(t, first.grow(60) && first.grow(40) && !second.grow(41) && second.grow(40) && !first.grow(61))
	assert.Equal(t, budget.held.Load(), int64(100))
	first.release()
	first.release()
	assert.Equal(t, budget.held.Load(), int64(40))
	assert.Assert(t, second.grow(100) && !first.grow(1))
	second.release()
	assert.Equal(t, budget.held.Load(), int64(0))
}

func TestReadAll(t *testing.T) {
	for name, test := range map[string]struct {
		size, expected, limit, budget int64
		want                          int64
		err                           error
	}{
		"empty":                 {0, 0, 100, 0, 0, nil},
		"small":                 {800, 0, 1 << 20, 0, 800, nil},
		"as expected":           {800, 800, 1 << 20, 0, 800, nil},
		"without reservation":   {freeBytes - 1, freeBytes - 1, 1 << 20, 0, freeBytes - 1, nil},
		"reserved":              {100_000, 100_000, 1 << 20, 100_000, 100_000, nil},
		"grown":                 {100_000, 0, 1 << 20, 200_000, 100_000, nil},
		"no room at first":      {100_000, 100_000, 1 << 20, 50_000, 0, errNoRoom},
		"no room for more":      {100_000, 0, 1 << 20, 50_000, 64 * (firstBufferBytes + 1), errNoRoom},
		"at the limit":          {2000, 0, 2000, 0, 2000, nil},
		"beyond the limit":      {5000, 0, 2000, 0, 2001, nil},
		"less than is expected": {10, 5000, 1 << 20, 0, 10, nil},
	} {
		t.Run(name, func(t *testing.T) {
			budget := &byteBudget{limit: test.budget}
			reserved := reservation{budget: budget}
			got, err := readAll(strings.NewReader(strings.Repeat("x", int(test.size))), test.expected, test.limit, &reserved)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Assert(t, int64(len(got)) == test.want || test.size > test.limit && int64(len(got)) >= test.limit, "%d bytes", len(got))
			assert.Assert(t, reserved.bytes <= test.budget)
		})
	}
	_, err := readAll(iotest.ErrReader(io.ErrUnexpectedEOF), 0, 100, &reservation{budget: &byteBudget{}})
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
