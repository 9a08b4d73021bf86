package ledger

import "hawthornrill.example/hawthornrill/domain"

// interner stores each distinct value once and maps it to a small number, so that
// records stay small. Values are never dropped; their number is bounded by the
// incarnations and endpoints seen. Zero stands for no value.
type interner[T comparable] struct {
	numbers map[T]uint32
	values  []T
}

func newInterner[T comparable]() *interner[T] {
	var none T
	return &interner[T]{numbers: map[T]uint32{none: 0}, values: []T{none}}
}

// intern returns the value's number, and assigns one to a new value.
func (i *interner[T]) intern(value T) uint32 {
	if number, ok := i.numbers[value]; ok {
		return number
	}
	number := uint32(len(i.values))
	i.numbers[value] = number
	i.values = append(i.values, value)
	return number
}

// value returns the value of a number returned by intern.
func (i *interner[T]) value(number uint32) T { return i.values[number] }

type (
	memberInterner   = interner[domain.Member]
	endpointInterner = interner[domain.EndpointID]
)
