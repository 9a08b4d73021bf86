package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the header fields that are not forwarded (RFC 9110, section 7.6.1), and those between nodes. Content-Length is
// computed for each message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", fieldForward, fieldForwardResult, fieldForwardResumption,
	fieldAnsweredBy, fieldOrigin,
}

// endToEndHeader returns a copy of h without the hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	copyEndToEndHeader(out, h)
	return out
}

// copyEndToEndHeader copies the fields of from to to, without the hop-by-hop fields. Those of to are kept.
func copyEndToEndHeader(to, from http.Header) {
	var connectionOptions []string
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			connectionOptions = append(connectionOptions, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if !slices.Contains(hopByHop, name) && !slices.Contains(connectionOptions, name) {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a type.
		to["Content-Type"] = nil
	}
}
