package gateway

import (
	"net/http"
	"strings"
)

// hopByHop are the header fields that are not forwarded (RFC 9110, section 7.6.1). Content-Length is computed for each message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeader returns a copy of h without the hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	copyEndToEndHeader(out, h)
	return out
}

// copyEndToEndHeader copies the fields of from to to, without the hop-by-hop fields.
func copyEndToEndHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
	if _, ok := to["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a type.
		to["Content-Type"] = nil
	}
}
