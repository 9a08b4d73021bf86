// Package defaults sets the default values of options.
package defaults

// Set sets the field to the value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Positive returns the value if it is positive, otherwise the fallback.
func Positive[T ~int | ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
