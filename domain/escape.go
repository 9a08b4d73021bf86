package domain

import "net/url"

// escape encodes a part of a composite name so that parts can be joined with
// colons.
func escape(s string) string { return url.QueryEscape(s) }
