package bytebudget

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestReservationsAreBounded(t *testing.T) {
	budget := New(100, 0)
	first, second := budget.Reserve(1), budget.Reserve(1)
	assert.Assert(t, first.Grow(60) && first.Grow(40) && !second.Grow(41) && second.Grow(40) && !first.Grow(61))
	assert.Equal(t, budget.Held(), int64(100))
	first.Release()
	first.Release()
	assert.Equal(t, budget.Held(), int64(40))
	assert.Assert(t, second.Grow(100) && !first.Grow(1))
	second.Release()
	assert.Equal(t, budget.Held(), int64(0))
}

// freeBytes is what the buffers of the test hold without a reservation.
const freeBytes = 16 << 10

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
		"no room at first":      {100_000, 100_000, 1 << 20, 50_000, 0, ErrNoRoom},
		"no room for more":      {100_000, 0, 1 << 20, 50_000, 64 * (firstBufferBytes + 1), ErrNoRoom},
		"at the limit":          {2000, 0, 2000, 0, 2000, nil},
		"beyond the limit":      {5000, 0, 2000, 0, 2001, nil},
		"less than is expected": {10, 5000, 1 << 20, 0, 10, nil},
	} {
		t.Run(name, func(t *testing.T) {
			reserved := New(test.budget, 0).Reserve(1)
			reader := Reader{Limit: test.limit, Expected: test.expected, Free: freeBytes}
			got, err := reader.ReadAll(strings.NewReader(strings.Repeat("x", int(test.size))), &reserved)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Assert(t, int64(len(got)) == test.want || test.size > test.limit && int64(len(got)) >= test.limit, "%d bytes", len(got))
			assert.Assert(t, reserved.bytes <= test.budget)
		})
	}
	_, err := Reader{Limit: 100, Free: freeBytes}.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), &Reservation{})
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against large reservations that leave no room for small ones.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	budget := New(100, 10)
	large, small, lowest := budget.Reserve(0.75), budget.Reserve(0.75), budget.Reserve(0.5)
	assert.Assert(t, !large.Grow(76) && large.Grow(75))
	assert.Assert(t, !lowest.Grow(11) && lowest.Grow(10))
	assert.Assert(t, small.Grow(10) && !small.Grow(11))
	large.Release()
	assert.Assert(t, lowest.Grow(40) && !lowest.Grow(41) && small.Grow(35))
}

// Guards against buffers of the announced size for bytes that do not come.
func TestBufferGrowsAsBytesArrive(t *testing.T) {
	for _, size := range []int64{0, 1, 63, 64, 65, 1000, 1023} {
		reserved := New(1<<20, 0).Reserve(1)
		got, err := Reader{Limit: 4096, Expected: 1023, First: 64, Free: 1}.ReadAll(strings.NewReader(strings.Repeat("x", int(size))), &reserved)
		assert.NilError(t, err)
		assert.Equal(t, int64(len(got)), size)
		assert.Assert(t, reserved.Bytes() <= max(2*size, 64), "%d reserved for %d", reserved.Bytes(), size)
		assert.Assert(t, reserved.Bytes() <= 1023)
	}
}
