package httpservice

import (
	"net/http"
	"strings"
)

const headerUserAgent = "User-Agent"

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of the header without hop-by-hop fields, both the standard ones and those
// named by Connection.
func endToEnd(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = make(http.Header)
	}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}
