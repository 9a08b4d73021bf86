package membership

import "fmt"

// statusNames are the printed forms, by status.
var statusNames = [...]string{"alive", "leaving", "unreachable", "gone"}

// String returns the status in a word.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return fmt.Sprintf("status(%d)", uint8(s))
	}
	return statusNames[s]
}

// MarshalText writes the status as a word.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word.
func (s *Status) UnmarshalText(text []byte) error {
	for i, name := range statusNames {
		if name == string(text) {
			*s = Status(i)
			return nil
		}
	}
	return fmt.Errorf("membership: unknown status %q", text)
}
