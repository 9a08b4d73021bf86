// Package defaults fills in options that were left out.
package defaults

// Set gives the field the value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Positive returns the value if it is above zero, else the fallback.
func Positive[T ~int | ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
