package sizing

import (
	"fmt"
	"math"
	"strconv"
)

// Unit says how an amount is printed.
type Unit uint8

const (
	// Count is a plain number.
	Count Unit = iota
	// PerSecond is a rate of events.
	PerSecond
	// ByteCount is an amount of memory or data.
	ByteCount
	// BytesPerSecond is a rate of data.
	BytesPerSecond
	// Fraction is a part of one core's time.
	Fraction
	// Seconds is a time.
	Seconds
)

// Format prints the amount with three significant digits. Prefixes are decimal:
// 1 KB is 1,000 bytes.
func (u Unit) Format(amount float64) string {
	switch u {
	case PerSecond:
		return digits(amount) + " /s"
	case ByteCount:
		return prefixed(amount) + "B"
	case BytesPerSecond:
		return prefixed(amount) + "B/s"
	case Fraction:
		return digits(amount*100) + " %"
	case Seconds:
		return seconds(amount)
	default:
		return digits(amount)
	}
}

const shownDigits = 3

func digits(v float64) string {
	if v == 0 {
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(v))))
	decimals := max(0, shownDigits-1-magnitude)
	if decimals > shownDigits+3 {
		return strconv.FormatFloat(v, 'e', shownDigits-1, 64)
	}
	return grouped(strconv.FormatFloat(v, 'f', decimals, 64))
}

// grouped puts commas between thousands.
func grouped(s string) string {
	whole, rest := s, ""
	for i, r := range s {
		if r == '.' {
			whole, rest = s[:i], s[i:]
			break
		}
	}
	sign := ""
	if whole != "" && whole[0] == '-' {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	return sign + whole + rest
}

func prefixed(v float64) string {
	for _, p := range []struct {
		scale float64
		name  string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "K"}} {
		if math.Abs(v) >= p.scale {
			return digits(v/p.scale) + " " + p.name
		}
	}
	return digits(v) + " "
}

func seconds(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0 s"
	case a < 1e-6:
		return fmt.Sprintf("%s ns", digits(v*1e9))
	case a < 1e-3:
		return fmt.Sprintf("%s µs", digits(v*1e6))
	case a < 1:
		return fmt.Sprintf("%s ms", digits(v*1e3))
	default:
		return fmt.Sprintf("%s s", digits(v))
	}
}

// trimmed prints all digits of a constant and no more.
func trimmed(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}
