package ledger

import "hawthornrill.example/hawthornrill/domain"

// names stores each distinct value once and gives it a small number, so that
// records stay small. Values are never dropped: there are as many as lives and
// endpoints met. Zero stands for none.
type names[T comparable] struct {
	numbers map[T]uint32
	values  []T
}

func newNames[T comparable]() *names[T] {
	var none T
	return &names[T]{numbers: map[T]uint32{none: 0}, values: []T{none}}
}

// number returns the value's number.
func (n *names[T]) number(value T) uint32 {
	if number, ok := n.numbers[value]; ok {
		return number
	}
	number := uint32(len(n.values))
	n.numbers[value] = number
	n.values = append(n.values, value)
	return number
}

// value returns the value of a number that number gave.
func (n *names[T]) value(number uint32) T { return n.values[number] }

// members and endpoints are the two kinds of names.
type (
	memberNames   = names[domain.Member]
	endpointNames = names[domain.EndpointID]
)
