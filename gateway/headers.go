package gateway

import (
	"net/http"
	"strings"
)

// perConnection are the header fields that concern one connection only (RFC 9110, section 7.6.1). Lengths are set anew.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd returns the fields that are passed on.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	copyHeader(out, h)
	return out
}

// copyHeader adds the fields that are passed on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		delete(to, name)
	}
	if _, ok := to["Content-Type"]; !ok {
		// Keeps the library from guessing one.
		to["Content-Type"] = nil
	}
}
