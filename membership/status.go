package membership

import "fmt"

// statusNames are the text forms, indexed by status.
var statusNames = [...]string{"alive", "leaving", "unreachable", "gone"}

// String returns the status as text.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return fmt.Sprintf("status(%d)", uint8(s))
	}
	return statusNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Status) UnmarshalText(text []byte) error {
	for i, name := range statusNames {
		if name == string(text) {
			*s = Status(i)
			return nil
		}
	}
	return fmt.Errorf("membership: unknown status %q", text)
}
