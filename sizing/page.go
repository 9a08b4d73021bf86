package sizing

import (
	"fmt"
	"strings"
)

// Section is a part of the page that is worked out; the rest is written by hand.
type Section struct {
	Name string
	Body string
}

func (s Section) begin() string { return "<!-- begin " + s.Name + " -->\n" }

func (s Section) end() string { return "<!-- end " + s.Name + " -->" }

// InsertSections puts the sections between their markers in the page. It returns ErrPage
// if a marker is missing.
func InsertSections(page string, sections []Section) (string, error) {
	for _, s := range sections {
		before, rest, ok := strings.Cut(page, s.begin())
		if !ok {
			return "", fmt.Errorf("%w: no %q", ErrPage, s.begin())
		}
		_, after, ok := strings.Cut(rest, s.end())
		if !ok {
			return "", fmt.Errorf("%w: no %q", ErrPage, s.end())
		}
		page = before + s.begin() + s.Body + s.end() + after
	}
	return page, nil
}
