package sizing

import (
	"fmt"
	"strings"
)

// Section is a generated part of the page, between a begin and an end marker. The rest
// of the page is written by hand.
type Section struct {
	Name string
	Body string
}

func (s Section) begin() string { return "<!-- begin " + s.Name + " -->\n" }

func (s Section) end() string { return "<!-- end " + s.Name + " -->" }

// InsertSections replaces the text between the markers of each section. It returns
// ErrPage if a marker is missing.
func InsertSections(page string, sections []Section) (string, error) {
	for _, s := range sections {
		before, rest, ok := strings.Cut(page, s.begin())
		if !ok {
			return "", fmt.Errorf("%w: marker %q is missing", ErrPage, s.begin())
		}
		_, after, ok := strings.Cut(rest, s.end())
		if !ok {
			return "", fmt.Errorf("%w: marker %q is missing", ErrPage, s.end())
		}
		page = before + s.begin() + s.Body + s.end() + after
	}
	return page, nil
}
