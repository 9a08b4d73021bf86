package sizing

import (
	"fmt"
	"math"
	"strconv"
)

// Unit determines how an amount is formatted.
type Unit uint8

const (
	// Count is a number without a unit.
	Count Unit = iota
	// PerSecond is a rate of calls, messages or other events.
	PerSecond
	// ByteCount is an amount of memory or data.
	ByteCount
	// BytesPerSecond is a rate of data.
	BytesPerSecond
	// Fraction is a ratio, such as a share of one core's time, formatted as a percentage.
	Fraction
	// Seconds is a duration.
	Seconds
)

// Format formats the amount with three significant digits. Prefixes are decimal: 1 KB
// is 1,000 bytes.
func (u Unit) Format(amount float64) string {
	switch u {
	case PerSecond:
		return formatSignificant(amount) + " /s"
	case ByteCount:
		return formatWithPrefix(amount) + "B"
	case BytesPerSecond:
		return formatWithPrefix(amount) + "B/s"
	case Fraction:
		return formatSignificant(amount*100) + " %"
	case Seconds:
		return formatSeconds(amount)
	default:
		return formatSignificant(amount)
	}
}

const printedDigits = 3

func formatSignificant(v float64) string {
	if v == 0 {
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(v))))
	decimals := max(0, printedDigits-1-magnitude)
	if decimals > printedDigits+3 {
		return strconv.FormatFloat(v, 'e', printedDigits-1, 64)
	}
	return groupThousands(strconv.FormatFloat(v, 'f', decimals, 64))
}

// groupThousands inserts commas between groups of three digits.
func groupThousands(s string) string {
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

func formatWithPrefix(v float64) string {
	for _, p := range []struct {
		scale float64
		name  string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "K"}} {
		if math.Abs(v) >= p.scale {
			return formatSignificant(v/p.scale) + " " + p.name
		}
	}
	return formatSignificant(v) + " "
}

func formatSeconds(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0 s"
	case a < 1e-6:
		return fmt.Sprintf("%s ns", formatSignificant(v*1e9))
	case a < 1e-3:
		return fmt.Sprintf("%s µs", formatSignificant(v*1e6))
	case a < 1:
		return fmt.Sprintf("%s ms", formatSignificant(v*1e3))
	default:
		return fmt.Sprintf("%s s", formatSignificant(v))
	}
}

// exactDecimal formats a constant with the fewest digits that represent it exactly.
func exactDecimal(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}
