package domain

import "net/url"

// escape makes a part of a composite name safe to join with colons.
func escape(s string) string { return url.QueryEscape(s) }
